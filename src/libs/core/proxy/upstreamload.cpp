#include "core/proxy/upstreamload.h"

#include <algorithm>
#include <cmath>

namespace Proxy {

namespace {

    /// Weight of one answer in the failure and busy ratios.
    constexpr double answerWeight = 1.0 / 16;
    /// A lost answer costs its caller the time until it is noticed.
    constexpr double lossWeight = 1.0 / 8;
    /// Three failed answers in a row, or two lost ones, reach this ratio.
    constexpr double failureLimit = 0.17;
    /// After a pause as long as this, a sample replaces half of an average.
    constexpr double averagingSeconds = 1;
    constexpr Model::Duration rampTime = std::chrono::seconds(3);
    constexpr double initialShare = 0.1;
    constexpr Model::Duration probePeriod = std::chrono::seconds(1);
    /// A slow upstream that is not set aside also gets other reads.
    constexpr Model::Duration slowProbePeriod = std::chrono::seconds(2);
    /// After a probe that succeeded, the next one follows sooner.
    constexpr Model::Duration nextProbePeriod = std::chrono::milliseconds(250);
    /// Of an upstream that fails 40 % of its statements, 8 % of the sequences of 5 statements succeed, and
    /// 0.2 % of those of 12.
    constexpr int minRequiredSuccesses = 5;
    constexpr int maxRequiredSuccesses = 12;
    constexpr int relapseSuccesses = 4;
    /// An upstream that fails again within this time has to succeed more often before it is taken back.
    constexpr Model::Duration relapseTime = std::chrono::seconds(15);
    constexpr Model::Duration roundTripPeriod = std::chrono::seconds(10);
    /// Pause before a statement that was answered with `Busy` is tried again, and the number of attempts;
    /// equal to `busyPause` and `maxAttempts` of the engine.
    constexpr double busySeconds = 0.015;
    constexpr int maxAttempts = 4;
    constexpr double maxBusyRatio = 0.95;

    double seconds(Model::Duration duration) { return std::chrono::duration<double>(duration).count(); }

    Model::Duration duration(double seconds)
    {
        return std::chrono::duration_cast<Model::Duration>(std::chrono::duration<double>(seconds));
    }

}

UpstreamLoad::UpstreamLoad(Model::Time now)
    : m_periodStart(now)
    , m_answeredAt(now)
    , m_triedAt(now)
    , m_rampSince(now)
{
}

/// At a high rate a sample has a low weight, so that an average covers about the averaging time.
double UpstreamLoad::weightOfSample(Model::Time now) const
{
    const double elapsed = seconds(now - m_answeredAt);
    return std::max(answerWeight, elapsed / (elapsed + averagingSeconds));
}

LoadChange UpstreamLoad::answered(
    ResultCode code, double otherFailureRatio, Model::Time sentAt, Model::Time now)
{
    const double weight = weightOfSample(now);
    m_answeredAt = now;
    const bool isBusy = code == ResultCode::Busy;
    m_busyRatio += ((isBusy ? 1.0 : 0.0) - m_busyRatio) * weight;
    if (code == ResultCode::Complete || code == ResultCode::TimedOut)
        m_responseTime += duration(seconds(now - sentAt - m_responseTime) * weight);
    if (code == ResultCode::Failed)
        return failed(answerWeight, otherFailureRatio, now);
    return code == ResultCode::Complete ? succeeded(sentAt, now) : LoadChange::None;
}

LoadChange UpstreamLoad::lost(double otherFailureRatio, Model::Time now)
{
    return failed(lossWeight, otherFailureRatio, now);
}

LoadChange UpstreamLoad::failed(double weight, double otherFailureRatio, Model::Time now)
{
    m_failureRatio += (1 - m_failureRatio) * weight;
    m_failedAt = now;
    m_successes = 0;
    const bool isRelapse = m_takenBackAt && now - *m_takenBackAt < relapseTime;
    const bool isAboveLimit = m_failureRatio > failureLimit || (isRelapse && share(now) < 1);
    if (m_isSetAside || !isAboveLimit || m_failureRatio < 2 * otherFailureRatio)
        return LoadChange::None;
    m_isSetAside = true;
    m_setAsideAt = now;
    m_requiredSuccesses = isRelapse ? std::min(maxRequiredSuccesses, m_requiredSuccesses + relapseSuccesses)
                                    : minRequiredSuccesses;
    return LoadChange::SetAside;
}

LoadChange UpstreamLoad::succeeded(Model::Time sentAt, Model::Time now)
{
    m_failureRatio -= m_failureRatio * answerWeight;
    // Successes of statements sent before the upstream was set aside do not count. The successes also have to
    // extend over `probePeriod`, since a primary still runs many statements while it is set aside.
    if (!m_isSetAside || sentAt < m_setAsideAt)
        return LoadChange::None;
    ++m_successes;
    if (m_successes < m_requiredSuccesses || now - *m_failedAt < probePeriod)
        return LoadChange::None;
    m_isSetAside = false;
    m_failureRatio = 0;
    m_rampSince = now;
    m_takenBackAt = now;
    return LoadChange::TakenBack;
}

void UpstreamLoad::observeRoundTrip(Model::Duration time, Model::Time now)
{
    if (now - m_periodStart >= roundTripPeriod) {
        m_previousShortest = m_shortest;
        m_shortest.reset();
        m_periodStart = now;
    }
    m_shortest = m_shortest ? std::min(*m_shortest, time) : time;
}

Model::Duration UpstreamLoad::roundTrip() const
{
    if (m_shortest && m_previousShortest)
        return std::min(*m_shortest, *m_previousShortest);
    if (m_shortest)
        return *m_shortest;
    return m_previousShortest.value_or(Model::Duration {});
}

/// Without answers the ratio says less and less: the upstream may have become idle.
double UpstreamLoad::busyRatio(Model::Time now) const
{
    const double elapsed = seconds(now - m_answeredAt);
    return elapsed <= averagingSeconds ? m_busyRatio : m_busyRatio * averagingSeconds / elapsed;
}

Model::Duration UpstreamLoad::expectedTime(
    int inUse, int slots, Model::Duration target, Model::Time now) const
{
    const Model::Duration shortest = std::min(roundTrip(), m_responseTime);
    const double execution = seconds(m_responseTime - shortest);
    const double occupied = static_cast<double>(inUse) / std::max(1, slots);
    const double busy = std::min(maxBusyRatio, busyRatio(now));
    const double repetitions = busy / (1 - busy);
    const double total = execution * (1 + occupied) + repetitions * busySeconds
        + std::pow(busy, maxAttempts) * seconds(target);
    return shortest + duration(total);
}

double UpstreamLoad::share(Model::Time now) const
{
    const double elapsed = seconds(now - m_rampSince) / seconds(rampTime);
    return std::min(1.0, initialShare + (1 - initialShare) * elapsed);
}

bool UpstreamLoad::isProbeDue(Model::Time now) const
{
    if (!m_isSetAside)
        return now - m_triedAt >= slowProbePeriod;
    return now - m_triedAt >= (m_successes > 0 ? nextProbePeriod : probePeriod);
}

}
