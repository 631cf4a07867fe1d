#pragma once

#include "core/directory/view.h"
#include "core/failover/reachability.h"
#include "core/proxy/coldlimit.h"
#include "core/proxy/freshness.h"
#include "core/proxy/pool.h"
#include "core/proxy/readbalancer.h"
#include "core/proxy/session.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Proxy {

/// Decides which upstreams may run a request, and in which order they are tried. Used on one thread.
class Router {
public:
    /// Returns whether this host may use primaries now.
    using PermissionHook = std::function<bool(Model::Time now)>;

    /// Without `mayUsePrimaries`, primaries may always be used.
    Router(const Directory::View& view, Pool& pool, const Failover::Reachability& reachability,
        std::string zone, PermissionHook mayUsePrimaries = {});

    /// From now on, divides reads between the upstreams by their load and failures, and reports changes of
    /// that division.
    void balanceUpstreams(ReadBalancer::ChangeHook changed);
    bool isBalancing() const { return m_balancer.has_value(); }
    /// Sets the number of hosts between which the limits of cold upstreams are divided, and this host's place
    /// among them. Before the first call, none of the statements that such a limit counts may run.
    void setHosts(int count, int rank);
    /// Reads from the directory which upstreams are cold. Has to be called after each of its changes.
    void directoryChanged(Model::Time now);

    /// Returns the upstreams that may run the request now, best first.
    std::vector<const Directory::Upstream*> candidates(
        const Session& session, const Request& request, Model::Time now) const;
    /// Returns the presumed primary of the service: the upstream that confirmed the role last, otherwise the
    /// one that the directory names. Null if neither can be the primary now.
    const Directory::Upstream* primary(const std::string& service, Model::Time now) const;
    /// Returns whether the upstream may be used as a primary: this host has the permission to use primaries,
    /// and promotions allow this one.
    bool isPrimaryAllowed(const std::string& service, const std::string& upstream, Model::Time now) const;
    /// Returns the position that an upstream's log must have reached to run a read of the session. `nullopt`
    /// if only the primary may run it, because of the route or because no recent position is known.
    std::optional<Model::LogPosition> requiredPosition(const Session& session, Model::Time now) const;

    /// Records that the reply to a request sent at `sentAt` confirmed the upstream's primary role. `position`
    /// is the end of the upstream's log in that reply.
    void observePrimaryRole(const std::string& service, const std::string& upstream,
        Model::LogPosition position, Model::Time sentAt);
    /// Records the end of the upstream's log.
    void observePosition(const std::string& upstream, Model::LogPosition position, Model::Time now);
    /// Records that the upstream answered that it is not the primary.
    void observeNotPrimary(const std::string& upstream, Model::Time now);
    /// Records that the upstream's log lacked a position that a request required.
    void observeLag(const std::string& upstream, Model::Time now);
    /// Records that a statement sent at `sentAt` was answered at `now`.
    void observeAnswer(const std::string& upstream, Model::Time sentAt, Model::Time now);
    /// Returns whether the reply to a statement sent at `sentAt` is presumed lost, because the upstream has
    /// answered statements that were sent well after it.
    bool isAnswerOverdue(const std::string& upstream, Model::Time sentAt, Model::Time now) const;
    /// Records that the upstream did not respond or that its connection broke.
    void observeFailure(const std::string& upstream, Model::Time now);

    /// Returns whether another statement may be sent to the upstream. Always true unless the upstream is cold
    /// and its service has a limit for that.
    bool mayRun(const Directory::Upstream& upstream, Model::Time now) const;
    /// Returns when `mayRun` will be true.
    Model::Time mayRunAt(const std::string& upstream, Model::Time now) const;
    /// Records that a caller's statement is sent to the upstream, or will be as soon as its connection has
    /// been prepared.
    void observeSent(const std::string& upstream, Model::Time now);
    /// Records the result of a caller's statement that was sent at `sentAt`.
    void observeResult(const std::string& upstream, ResultCode code, Model::Time sentAt, Model::Time now);
    /// Records the time from a message to its answer.
    void observeRoundTrip(const std::string& upstream, Model::Duration time, Model::Time now);
    /// Returns the primaries whose positions this host should observe soon, because reads of the last seconds
    /// required a position of their service that is about to become too old. Each is returned once in a
    /// while.
    std::vector<std::string> takeDueObservations(Model::Time now);

    /// Null unless the router balances.
    const ReadBalancer* balancer() const { return m_balancer ? &*m_balancer : nullptr; }
    /// Returns the last recorded end of the upstream's log; 0.0 if it is unknown.
    Model::LogPosition position(const std::string& upstream) const;
    /// Returns the observed positions of the service's primary, or null before the first observation.
    const Freshness* freshness(const std::string& service) const;

private:
    struct UpstreamStats {
        Model::LogPosition position;
        std::optional<Model::Time> notPrimaryAt;
        std::optional<Model::Time> laggedAt;
        std::optional<Model::Time> failedAt;
        /// How far the upstream's log is behind the primary's, at least.
        Model::Duration lag {};
        /// When `position` was observed.
        Model::Time positionAt;
        /// Moving average of the time from sending a statement to its reply.
        Model::Duration latency = std::chrono::milliseconds(10);
        /// Latest send time of the statements that have been answered.
        Model::Time newestAnswered;
    };

    Model::Duration cost(const Directory::Upstream& upstream, const Session& session,
        const std::optional<Model::LogPosition>& required, Model::Time now) const;

    struct ColdUpstream {
        std::int64_t startedAt = 0;
        std::uint64_t revision = 0;
        Model::Time until;
        ColdLimit limit;
    };

    /// Reads of a service that required a position.
    struct PositionUse {
        Model::Time lastRead;
        Model::Duration maxStaleness {};
        Model::Time requestedAt;
    };

    std::vector<const Directory::Upstream*> balanced(const Session& session, const Request& request,
        const std::optional<Model::LogPosition>& required, Model::Time now) const;
    Model::Duration missingTime(
        const Directory::Upstream& upstream, Model::LogPosition required, Model::Time now) const;
    /// Returns the limit of the upstream and this host's share of it, or null and 0 if it has none now.
    std::pair<const ColdUpstream*, double> coldLimit(
        const Directory::Upstream& upstream, Model::Time now) const;
    bool mayBePrimary(const Directory::Upstream& upstream, Model::Time now) const;
    std::vector<const Directory::Upstream*> possiblePrimaries(
        const std::string& service, Model::Time now) const;

    const Directory::View& m_view;
    Pool& m_pool;
    const Failover::Reachability& m_reachability;
    std::string m_zone;
    PermissionHook m_mayUsePrimaries;
    std::unordered_map<std::string, UpstreamStats> m_upstreamStats;
    std::unordered_map<std::string, Freshness> m_freshness;
    /// The upstream that confirmed the primary role last, by service. The directory may not name it yet.
    std::unordered_map<std::string, std::string> m_confirmedPrimaries;
    /// Keeps the state of the division, which changes with each request that is routed.
    mutable std::optional<ReadBalancer> m_balancer;
    mutable std::unordered_map<std::string, PositionUse> m_positionUses;
    std::unordered_map<std::string, ColdUpstream> m_coldUpstreams;
    int m_hostCount = 0;
    int m_hostRank = 0;
};

}
