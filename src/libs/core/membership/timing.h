#pragma once

#include "core/model/time.h"

namespace Membership {

using namespace std::chrono_literals;

/// Failure detection, docs/design.md 6.7.
constexpr Model::Duration probeInterval = 1s;
constexpr Model::Duration indirectProbeDelay = 300ms;
/// Time in which a probe has to be acknowledged. A later acknowledgement carries no evidence.
constexpr Model::Duration probeTimeout = 1s;
constexpr Model::Duration suspicionTimeout = 2s;
/// A longer pause between two ticks means that this process was paused: the answers to its probes may
/// still wait in a socket.
constexpr Model::Duration pauseThreshold = 500ms;
/// Exceeds the time for which updates are retransmitted, so that no late update revives the member.
constexpr Model::Duration deadRetention = 60s;
constexpr Model::Duration seedInterval = 30s;

/// Store contact, docs/design.md 6.8.
constexpr Model::Duration evidenceLifetime = 10s;
/// Contact rounds run while the last known store success is older than this. Each host reads the store
/// every 3 s to 5 s, so that an older success is a sign of an outage.
constexpr Model::Duration outageSuspicionThreshold = 5s;
constexpr Model::Duration roundInterval = 4s;
/// A majority counts as present for this long after the start of its round.
constexpr Model::Duration roundLifetime = 8s;
/// Interval of exchanges while a round runs. A round reaches a majority of 810 hosts within 4 s.
constexpr Model::Duration exchangeInterval = 200ms;

/// Host leases and takeover, docs/design.md 6.9.
constexpr Model::Duration leaseRenewalInterval = 10s;
constexpr Model::Duration leaseRetryInterval = 1s;
constexpr Model::Duration leaseAttemptTimeout = 4s;
constexpr Model::Duration leaseServiceTime = 25s;
constexpr Model::Duration leaseObservationTime = 30s;
/// Longest time between two reads of an observed lease row.
constexpr Model::Duration maxLeaseReadInterval = 5s;
/// During a store outage a holder serves on if it knows of no store success that is later than its last
/// renewal by more than this: the renewal interval and the time-out of the attempt that failed.
constexpr Model::Duration outageServiceMargin = leaseRenewalInterval + leaseAttemptTimeout;
/// Upper bound of the error of a store success date that several hosts have passed on.
constexpr Model::Duration evidenceTimeError = 2s;
/// Time between a majority's knowledge of a store success and a takeover; exceeds `roundLifetime` by the
/// allowance for clocks that run at different rates.
constexpr Model::Duration takeoverDelay = roundLifetime + 1s;

}
