#pragma once

#include "core/model/time.h"

namespace Membership {

using namespace std::chrono_literals;

/// Failure detection, docs/design.md 6.7.
constexpr Model::Duration probeInterval = 1s;
constexpr Model::Duration indirectProbeDelay = 300ms;
/// Time within which a probe has to be acknowledged. A later acknowledgement doesn't count as evidence.
constexpr Model::Duration probeTimeout = 1s;
constexpr Model::Duration suspicionTimeout = 2s;
/// A longer time between two ticks means that this process was paused. Acknowledgements of its probes may
/// still be waiting in a socket buffer.
constexpr Model::Duration pauseThreshold = 500ms;
/// Time for which a dead member is kept. Exceeds the time for which updates are retransmitted, so that no
/// late update adds the member again.
constexpr Model::Duration deadRetention = 60s;
constexpr Model::Duration seedInterval = 30s;

/// Store contact, docs/design.md 6.8. Time for which a store success counts as contact with the store, and
/// within which a newer catalogue version has to come into force.
constexpr Model::Duration evidenceLifetime = 10s;
/// Contact rounds run while the newest known store success is older than this. Each host reads the store
/// every 3 s to 5 s, so an older success indicates an outage.
constexpr Model::Duration outageSuspicionThreshold = 5s;
constexpr Model::Duration roundInterval = 4s;
/// Time after the start of a contact round for which its majority counts as being in contact.
constexpr Model::Duration roundLifetime = 8s;
/// Interval of exchanges with random members while a contact round runs. At this interval, a round reaches
/// a majority of 810 hosts within 4 s.
constexpr Model::Duration exchangeInterval = 200ms;

/// Host leases and takeover, docs/design.md 6.9.
constexpr Model::Duration leaseRenewalInterval = 10s;
constexpr Model::Duration leaseRetryInterval = 1s;
constexpr Model::Duration leaseAttemptTimeout = 4s;
/// Time after the start of a renewal for which the holder may serve its slots.
constexpr Model::Duration leaseServiceTime = 25s;
/// Time for which an observed lease row has to remain unchanged before a takeover.
constexpr Model::Duration leaseObservationTime = 30s;
/// Maximum time between two reads of an observed lease row. A longer gap restarts the observation.
constexpr Model::Duration maxLeaseReadInterval = 5s;
/// During a store outage, a holder continues to serve if it knows of no store success that is later than its
/// last renewal by more than this: the renewal interval plus the time-out of the failed attempt.
constexpr Model::Duration outageServiceMargin = leaseRenewalInterval + leaseAttemptTimeout;
/// Upper bound of the error of the time of a store success after several hosts have passed it on.
constexpr Model::Duration evidenceTimeError = 2s;
/// Minimum time between the moment from which a majority knows of a store success and a takeover. Exceeds
/// `roundLifetime` by an allowance for clocks that run at different rates.
constexpr Model::Duration takeoverDelay = roundLifetime + 1s;

}
