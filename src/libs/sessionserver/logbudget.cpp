#include "sessionserver/logbudget.h"

#include <algorithm>
#include <utility>

namespace SessionServer {

namespace {

    constexpr double linesPerSecond = 20;
    /// Log lines that may be written at once.
    constexpr double burst = 100;

}

std::optional<std::uint64_t> LogBudget::take(Model::Time now)
{
    const double elapsed = std::chrono::duration<double>(now - m_refilledAt).count();
    m_lines = std::min(burst, m_lines + elapsed * linesPerSecond);
    m_refilledAt = now;
    if (m_lines < 1) {
        ++m_omitted;
        return std::nullopt;
    }
    m_lines -= 1;
    return std::exchange(m_omitted, 0);
}

}
