#pragma once

#include "core/model/time.h"

namespace Replication {

using namespace std::chrono_literals;

/// Interval at which the owner of a group requests the status of each member.
constexpr Model::Duration probeInterval = 500ms;
/// Time-out of one probe, fence, promote or follow call.
constexpr Model::Duration callTimeout = 500ms;
/// A call without a result after this time counts as lost, so that a group makes progress even if the I/O
/// layer never reports the result.
constexpr Model::Duration callExpiry = 2 * callTimeout;
/// A member that has not responded for this long is considered failed once a new connection failed too.
constexpr Model::Duration unresponsiveLimit = 1500ms;

/// How long a promotion waits for stragglers after it has fenced a majority. A straggler may hold writes that
/// are not acknowledged yet, or be the better candidate. Acknowledged writes survive without this wait.
constexpr Model::Duration stragglerLimit = 100ms;
/// Limits of the two phases of one promotion attempt. The detection time (2 s) and two full attempts with
/// back-off add up to less than the bound of 8 s.
constexpr Model::Duration fencingLimit = 1s;
constexpr Model::Duration promotingLimit = 1200ms;
/// Bounds of the random delay after a failed attempt, so that competing owners do not collide again.
constexpr Model::Duration backOffMinimum = 100ms;
constexpr Model::Duration backOffMaximum = 400ms;
/// Target for the duration of a change of primary (docs/design.md, section 2.4). A write waits at most this
/// long for a primary.
constexpr Model::Duration promotionBound = 8s;

/// Maximum time for which a planned switchover holds new writes.
constexpr Model::Duration holdLimit = 2s;
/// Probe interval while writes are held. It is short because it adds to the time without writes.
constexpr Model::Duration holdProbeInterval = 20ms;
/// Pause between two planned switchovers that did not move the primary.
constexpr Model::Duration switchoverRetryInterval = 5s;

/// Interval at which the follow call is repeated for a replica that lags and makes no progress.
constexpr Model::Duration followRetryInterval = 1s;
/// A primary from which no majority replicates for this long is replaced. The limit doubles, up to
/// `stallLimitMaximum`, with every replacement that did not help, so that replicas with a high replication
/// delay do not cause a change of primary each time.
constexpr Model::Duration stallLimit = 4s;
/// A primary from which no majority replicates for this long receives no new writes.
constexpr Model::Duration stallSuspicionLimit = 1s;
constexpr Model::Duration stallLimitMaximum = 64s;
/// The host that fenced a member under a higher term than the primary's has this long to complete its
/// promotion. After that, the owner starts a promotion of its own.
constexpr Model::Duration orphanedFenceLimit = 1500ms;

/// How long a read waits for a suitable replica before the primary may serve it.
constexpr Model::Duration replicaWait = 50ms;

}
