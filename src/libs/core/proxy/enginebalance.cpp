#include "core/proxy/engine.h"

#include <array>

namespace Proxy {

/// Begins and rolls back empty transactions on idle connections to primaries, which confirm their role and
/// position, so that reads of services in use need not run on the primary.
void Engine::observePrimaries(Model::Time now)
{
    for (const std::string& upstream : m_router.takeDueObservations(now)) {
        if (m_pool.findAnyIdle(upstream))
            command(upstream, { CommandKind::Begin }, {}, now);
    }
}

/// Delays a statement of an open transaction whose upstream is cold and has had its share of statements. The
/// first statement on a connection was counted when it was assigned.
bool Engine::mustWaitForColdUpstream(Request& request, const Connection& connection, Model::Time now)
{
    if (request.target != Target::Transaction)
        return false;
    const Model::Time at = m_router.mayRunAt(connection.upstream, now);
    if (at > now) {
        request.phase = RequestPhase::Preparing;
        request.retryAt = at;
        return true;
    }
    m_router.observeSent(connection.upstream, now);
    return false;
}

/// Reports a change of the division of reads as a decision.
void Engine::balanceChanged(BalanceChange change, const std::string& subject, const std::string& inputs) const
{
    struct Kind {
        DecisionKind kind;
        std::string_view reason;
    };
    // In the order of `BalanceChange`.
    static constexpr std::array kinds {
        Kind { DecisionKind::ZoneLeft, "slower here than in another zone" },
        Kind { DecisionKind::ZoneReturned, "served well here again" },
        Kind { DecisionKind::UpstreamSetAside, "fails part of its statements" },
        Kind { DecisionKind::UpstreamTakenBack, "probes succeeded" },
    };
    const Kind& kind = kinds.at(static_cast<std::size_t>(change));
    const bool isZone = change == BalanceChange::ZoneLeft || change == BalanceChange::ZoneReturned;
    Decision decision;
    decision.kind = kind.kind;
    decision.code = ResultCode::Complete;
    decision.reason = kind.reason;
    decision.inputs = (isZone ? "service=" + subject + " " : std::string()) + inputs;
    if (!isZone)
        decision.upstream = subject;
    m_hooks.decided(decision);
}

}
