#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Membership {

/// The members whose state is to be sent to peers, with the number of transmissions so far.
class UpdateQueue {
public:
    /// Adds a member, or resets its number of transmissions after a change of its state.
    void add(const std::string& name);
    void addIfAbsent(const std::string& name);
    void remove(std::string_view name);
    /// Returns up to `count` names with the fewest transmissions, older entries first, and counts a
    /// transmission for each. An entry that reaches `limit` transmissions is removed.
    std::vector<std::string> take(std::size_t count, int limit);
    bool empty() const { return m_entries.empty(); }

private:
    struct Entry {
        std::string name;
        int transmissions = 0;
        std::uint64_t sequence = 0;
    };

    std::vector<Entry> m_entries;
    std::uint64_t m_nextSequence = 0;
};

}
