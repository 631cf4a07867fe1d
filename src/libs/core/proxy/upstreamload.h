#pragma once

#include "core/model/time.h"
#include "core/proxy/resultcode.h"

#include <optional>

namespace Proxy {

enum class LoadChange { None, SetAside, TakenBack };

/// What this host has observed of one incarnation of an upstream: moving averages of its response time and of
/// the ratios of failed and busy statements, its round trip, and whether it is set aside because it fails
/// part of its statements. Used on one thread.
class UpstreamLoad {
public:
    /// A new upstream gets a share of the reads that grows from `now` on.
    explicit UpstreamLoad(Model::Time now);

    /// Records that a statement was sent. If the upstream is set aside, that is a probe.
    void sent(Model::Time now) { m_triedAt = now; }
    /// Records the answer to a statement sent at `sentAt`. `otherFailureRatio` is the lowest failure ratio of
    /// the service's other upstreams: a statement that fails on each of them is no failure of this one.
    LoadChange answered(ResultCode code, double otherFailureRatio, Model::Time sentAt, Model::Time now);
    /// Records that a connection broke or that a statement was not answered in time.
    LoadChange lost(double otherFailureRatio, Model::Time now);
    /// Records the time to the answer of any message.
    void observeRoundTrip(Model::Duration time, Model::Time now);

    /// Shortest time to an answer of the last 10 to 20 s, or since the start; 0 if there is none.
    Model::Duration roundTrip() const;
    double failureRatio() const { return m_failureRatio; }
    double busyRatio(Model::Time now) const;
    /// Expected time of a read, with the round trip, the wait for a slot, the repetitions after `BUSY`, and a
    /// part of `target` in proportion to the reads that stay busy in all attempts. `inUse` is the number of
    /// statements of this host in progress there.
    Model::Duration expectedTime(int inUse, int slots, Model::Duration target, Model::Time now) const;
    /// Share of the reads, relative to upstreams that have been in use for long: grows from 0.1 to 1.
    double share(Model::Time now) const;
    bool isSetAside() const { return m_isSetAside; }
    /// Returns whether an upstream that would get few reads otherwise should get one now.
    bool isProbeDue(Model::Time now) const;

private:
    LoadChange failed(double weight, double otherFailureRatio, Model::Time now);
    LoadChange succeeded(Model::Time sentAt, Model::Time now);
    double weightOfSample(Model::Time now) const;

    Model::Duration m_responseTime = std::chrono::milliseconds(10);
    double m_failureRatio = 0;
    double m_busyRatio = 0;
    /// Shortest response times since `m_periodStart`, and of the period before.
    std::optional<Model::Duration> m_shortest;
    std::optional<Model::Duration> m_previousShortest;
    Model::Time m_periodStart;
    Model::Time m_answeredAt;
    Model::Time m_triedAt;
    /// Since when the share grows.
    Model::Time m_rampSince;
    std::optional<Model::Time> m_failedAt;
    Model::Time m_setAsideAt;
    bool m_isSetAside = false;
    int m_successes = 0;
    int m_requiredSuccesses = 0;
    std::optional<Model::Time> m_takenBackAt;
};

}
