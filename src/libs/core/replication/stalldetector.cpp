#include "core/replication/stalldetector.h"

#include <algorithm>
#include <utility>

namespace Replication {

void StallDetector::update(std::uint64_t term, Model::LogPosition last, Model::LogPosition confirmed,
    Model::Time progressAt, Model::Time now)
{
    // A stall of the previous primary says nothing about the new one.
    if (std::exchange(m_term, term) != term)
        m_stalledSince.reset();
    if (confirmed.term == last.term && confirmed > m_confirmed) {
        m_confirmed = confirmed;
        m_limit = stallLimit;
    }
    if (confirmed >= last)
        m_stalledSince.reset();
    else
        m_stalledSince = std::max(m_stalledSince.value_or(now), progressAt);
}

void StallDetector::promotionStarted() { m_limit = std::min(2 * m_limit, stallLimitMaximum); }

}
