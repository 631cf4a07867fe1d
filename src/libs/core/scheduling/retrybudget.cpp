#include "core/scheduling/retrybudget.h"

#include <algorithm>

namespace Scheduling {

RetryBudget::RetryBudget(int requestsPerRetry, int burst)
    : m_requestsPerRetry(requestsPerRetry)
    , m_limit(requestsPerRetry * burst)
    , m_credit(m_limit)
{
}

void RetryBudget::countRequest() { m_credit = std::min(m_credit + 1, m_limit); }

bool RetryBudget::tryRetry()
{
    if (m_credit < m_requestsPerRetry)
        return false;
    m_credit -= m_requestsPerRetry;
    return true;
}

}
