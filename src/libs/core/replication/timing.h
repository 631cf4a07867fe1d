#pragma once

#include "core/model/time.h"

namespace Replication {

using namespace std::chrono_literals;

constexpr Model::Duration probeInterval = 500ms;
/// Limit of one probe, fence, promote or follow call.
constexpr Model::Duration callTimeout = 500ms;
/// A call without a result after this time counts as lost, so that a result that the I/O layer never
/// reports cannot stop a group.
constexpr Model::Duration callExpiry = 2 * callTimeout;
/// A member that has not answered for this long is considered failed once a new connection failed too.
constexpr Model::Duration unresponsiveLimit = 1500ms;

/// How long a promotion waits for further members after a majority is fenced. Waiting keeps writes that
/// are not acknowledged yet and allows a better candidate; it is not needed for acknowledged writes.
constexpr Model::Duration stragglerLimit = 100ms;
/// Limits of the two phases of one promotion attempt. Two full attempts with back-off and the detection
/// time (2 s) stay below the bound of 8 s.
constexpr Model::Duration fencingLimit = 1s;
constexpr Model::Duration promotingLimit = 1200ms;
constexpr Model::Duration backOffMinimum = 100ms;
constexpr Model::Duration backOffMaximum = 400ms;
/// Target of section 2.4 for a change of primary; writes wait at most this long for a primary.
constexpr Model::Duration promotionBound = 8s;

/// A planned switchover holds new writes at most this long.
constexpr Model::Duration holdLimit = 2s;
/// While writes are held, members are probed at this interval, because it adds to the write gap.
constexpr Model::Duration holdProbeInterval = 20ms;
/// Pause between two planned switchovers that did not move the primary.
constexpr Model::Duration switchoverRetryInterval = 5s;

/// A replica that is behind and makes no progress is told again to follow, at this interval.
constexpr Model::Duration followRetryInterval = 1s;
/// A primary from which no majority replicates for this long is replaced. It doubles with every
/// replacement that did not help, so that replicas with a long delay do not cause a change each time.
constexpr Model::Duration stallLimit = 4s;
constexpr Model::Duration stallSuspicionLimit = 1s;
constexpr Model::Duration stallLimitMaximum = 64s;
/// A member with a higher term than the primary's is left to the host that fenced it for this long.
constexpr Model::Duration orphanedFenceLimit = 1500ms;

/// How long a read waits for a suitable replica before it goes to the primary.
constexpr Model::Duration replicaWait = 50ms;

}
