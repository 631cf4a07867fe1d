#include "core/directory/readpacer.h"

#include <algorithm>

namespace Directory {

ReadPacer::ReadPacer(Model::Duration period, int burst, int startBurst)
    : m_period(period)
    , m_tolerance(period * (burst - 1))
    , m_initialUse(period * (burst - startBurst))
{
}

Model::Duration ReadPacer::pauseAfterRead(Model::Time now)
{
    m_accountedUntil = std::max(m_accountedUntil.value_or(now + m_initialUse), now) + m_period;
    return std::max(Model::Duration::zero(), *m_accountedUntil - now - m_tolerance);
}

}
