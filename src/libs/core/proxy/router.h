#pragma once

#include "core/directory/view.h"
#include "core/failover/reachability.h"
#include "core/proxy/freshness.h"
#include "core/proxy/pool.h"
#include "core/proxy/session.h"

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Proxy {

/// Decides which upstreams may run a request, and in which order they are tried. Used on one thread.
class Router {
public:
    Router(const Directory::View& view, Pool& pool, const Failover::Reachability& reachability,
        std::string zone);

    /// The upstreams for a request, best first; empty if none can take it now.
    std::vector<const Directory::Upstream*> candidates(
        const Session& session, const Request& request, Model::Time now) const;
    /// The upstream that leads the service as far as is known, or null.
    const Directory::Upstream* primary(const std::string& service, Model::Time now) const;
    /// The position that a read of the session has to see; nothing if that is not known.
    std::optional<Model::LogPosition> requiredPosition(const Session& session, Model::Time now) const;

    /// A request that was sent at `sentAt` proved that the upstream led then.
    void observePrimaryRole(const std::string& service, const std::string& upstream,
        Model::LogPosition position, Model::Time sentAt);
    /// The upstream showed the end of its log.
    void observePosition(const std::string& upstream, Model::LogPosition position);
    /// The upstream answered that it does not lead.
    void observeNotPrimary(const std::string& upstream, Model::Time now);
    /// The upstream lacked a position that a request needed.
    void observeLag(const std::string& upstream, Model::Time now);
    /// A statement that was sent at `sentAt` was answered.
    void observeAnswer(const std::string& upstream, Model::Time sentAt, Model::Time now);
    /// Whether the answer to a statement sent at `sentAt` has to be taken for lost: the upstream has answered
    /// others that were sent well after it.
    bool isAnswerOverdue(const std::string& upstream, Model::Time sentAt, Model::Time now) const;
    /// The upstream did not answer, or its connection broke.
    void observeFailure(const std::string& upstream, Model::Time now);

    /// The end of the upstream's log as it showed it last; 0.0 if it is not known.
    Model::LogPosition position(const std::string& upstream) const;
    const Freshness* freshness(const std::string& service) const;

private:
    struct UpstreamStats {
        Model::LogPosition position;
        std::optional<Model::Time> notPrimaryAt;
        std::optional<Model::Time> laggedAt;
        std::optional<Model::Time> failedAt;
        /// Moving average of a statement's time at the upstream.
        Model::Duration latency = std::chrono::milliseconds(10);
        /// When the newest of the answered statements was sent.
        Model::Time newestAnswered;
    };

    Model::Duration cost(const Directory::Upstream& upstream, const Session& session,
        const std::optional<Model::LogPosition>& required, Model::Time now) const;

    bool mayBePrimary(const Directory::Upstream& upstream, Model::Time now) const;
    std::vector<const Directory::Upstream*> possiblePrimaries(
        const std::string& service, Model::Time now) const;

    const Directory::View& m_view;
    Pool& m_pool;
    const Failover::Reachability& m_reachability;
    std::string m_zone;
    std::unordered_map<std::string, UpstreamStats> m_upstreamStats;
    std::unordered_map<std::string, Freshness> m_freshness;
    /// The upstream that proved its lead last, by service. The directory may not know of it yet.
    std::unordered_map<std::string, std::string> m_confirmedPrimaries;
};

}
