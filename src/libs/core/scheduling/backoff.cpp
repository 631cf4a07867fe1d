#include "core/scheduling/backoff.h"

#include <algorithm>

namespace Scheduling {

Backoff::Backoff(Model::Duration base, Model::Duration limit)
    : m_current(std::min(base, limit))
    , m_limit(limit)
{
}

std::optional<Model::Time> Backoff::next(Model::Time now, Model::Time deadline, std::mt19937_64& generator)
{
    std::uniform_int_distribution<Model::Duration::rep> jitter(0, m_current.count());
    const Model::Time at = now + Model::Duration(jitter(generator));
    m_current = std::min(m_current * 2, m_limit);
    if (at >= deadline)
        return std::nullopt;
    return at;
}

}
