#pragma once

#include "core/model/logposition.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Failover {

/// The promotion with which a term began.
struct TermStart {
    std::uint64_t term = 0;
    /// Id of the promoted upstream.
    std::string primary;
    /// The end of its log then, all of which it had received from the primaries of earlier terms.
    Model::LogPosition end;

    bool operator==(const TermStart&) const = default;
};

/// The newest promotions of a service. They tell which logs have diverged from that of the primary: an
/// upstream that had received more than the promoted one keeps entries that the promotion rolled back until
/// it receives from the new primary. As the next primary, it would bring them back.
class TermHistory {
public:
    TermHistory() = default;
    /// `starts` are in the order of their terms.
    explicit TermHistory(std::vector<TermStart> starts);

    const std::vector<TermStart>& starts() const { return m_starts; }
    /// 0 if no promotion is known.
    std::uint64_t newestTerm() const { return m_starts.empty() ? 0 : m_starts.back().term; }
    /// Records a promotion, instead of those of the same or a later term.
    void add(TermStart start);
    /// Removes the newest promotion, which was requested but has not taken place.
    void removeNewest() { m_starts.pop_back(); }
    /// Whether a log that ends there has entries that a promotion rolled back.
    bool hasDiverged(const Model::LogPosition& end) const;

    bool operator==(const TermHistory&) const = default;

private:
    std::vector<TermStart> m_starts;
};

}
