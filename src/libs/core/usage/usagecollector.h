#pragma once

#include "core/usage/windowcounts.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Usage {

/// Sums the counts that the hosts send. Counts are cumulative for each process of a host, so that repeated,
/// lost and reordered messages are harmless.
class UsageCollector {
public:
    explicit UsageCollector(Window kept)
        : m_kept(kept)
    {
    }

    /// Counts that the process `incarnation` of a host has sent. Only windows near `current` are kept.
    void receive(
        const std::string& host, std::uint64_t incarnation, const WindowReport& report, Window current);

    /// The counts of all hosts.
    Counts total(Window window) const;
    /// Whether the host has sent all its counts of the window.
    bool isComplete(Window window, const std::string& host) const;

private:
    /// One process of a host.
    using Sender = std::pair<std::string, std::uint64_t>;
    struct Entry {
        /// By sender; the indices of the counts are those of `m_customers`.
        std::map<Sender, std::vector<std::uint32_t>> counts;
        std::set<std::string> complete;
    };

    std::size_t indexOf(const std::string& customer);

    Window m_kept;
    std::map<Window, Entry> m_windows;
    /// Customers are stored once: a large fleet has many counts of each.
    std::vector<std::string> m_customers;
    std::unordered_map<std::string, std::size_t> m_indices;
};

}
