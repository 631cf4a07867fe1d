#pragma once

#include "core/directory/view.h"
#include "core/failover/primarywatch.h"
#include "core/failover/promotionlease.h"
#include "core/failover/upstreamstatus.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace Failover {

enum class PromotionRequestResult : std::uint8_t {
    Accepted,
    /// A newer holder has given an order, or the upstream does not run.
    Refused,
    /// Certainly not carried out.
    Unavailable,
    /// It may have been carried out, or may yet be.
    Unknown,
};

enum class PromotionPhase : std::uint8_t {
    TakingDuty,
    /// Asks all upstreams for their positions.
    Surveying,
    /// The present primary is told to stop writing.
    SteppingDown,
    /// The chosen replica receives the rest of the log.
    CatchingUp,
    Requesting,
    /// The order was accepted; the upstream does not lead yet.
    Awaiting,
    Finished,
    Failed,
};

std::string_view promotionPhaseName(PromotionPhase phase);

/// What a promotion asks of its surroundings; the answers come back as calls.
struct PromotionHooks {
    std::function<void(const std::string& service)> acquireLease;
    std::function<void(const std::string& upstream)> requestStatus;
    std::function<void(const std::string& upstream, std::uint64_t term)> stepDown;
    std::function<void(const std::string& service, const std::string& upstream, FencingToken)>
        requestPromotion;
    /// Whether the upstream may still answer.
    std::function<bool(const std::string& upstream)> isReachable;
    /// The position that the upstream showed last in an answer of any kind.
    std::function<Model::LogPosition(const std::string& upstream)> knownPosition;
};

/// One replacement of a service's primary by the replica that has received the most. Used on one thread.
class Promotion {
public:
    Promotion(const Directory::View& view, std::string service, PromotionReason reason, PromotionHooks hooks,
        Model::Time now);

    /// Nothing if the duty could not be taken.
    void leaseAcquired(std::optional<FencingToken> token, Model::Time now);
    /// Also the answer to `stepDown`. Nothing if the upstream did not answer.
    void statusArrived(
        const std::string& upstream, const std::optional<UpstreamStatus>& status, Model::Time now);
    void promotionAnswered(PromotionRequestResult result, Model::Time now);
    /// The directory changed or time passed.
    void update(Model::Time now);

    PromotionPhase phase() const { return m_phase; }
    bool isOver() const { return m_phase == PromotionPhase::Finished || m_phase == PromotionPhase::Failed; }
    const std::string& service() const { return m_service; }
    /// Whether this host holds the duty, so that the others need not try.
    bool holdsLease() const { return m_token != 0 && !isOver(); }
    /// The upstream that is to lead; empty before it is chosen.
    const std::string& candidate() const { return m_candidate; }
    PromotionReason reason() const { return m_reason; }
    Model::Time startedAt() const { return m_startedAt; }
    FencingToken token() const { return m_token; }
    /// When the new primary leads, if it takes `promotionDuration` from its order.
    Model::Time expectedEnd(Model::Duration promotionDuration, Model::Time now) const;
    /// When the order was accepted; nothing before.
    std::optional<Model::Time> acceptedAt() const { return m_acceptedAt; }

private:
    void enter(PromotionPhase phase, Model::Time now);
    void survey(Model::Time now);
    void requestStatus(const std::string& upstream);
    void continueSurvey(Model::Time now);
    void finishSurvey(Model::Time now);
    void promoteBestReplica(Model::Time now);
    std::string bestReplica() const;
    bool hasNewPrimary() const;

    const Directory::View& m_view;
    std::string m_service;
    PromotionReason m_reason;
    PromotionHooks m_hooks;
    PromotionPhase m_phase = PromotionPhase::TakingDuty;
    Model::Time m_startedAt;
    Model::Time m_phaseAt;
    Model::Time m_statusRequestedAt;
    FencingToken m_token = 0;
    std::optional<Model::Time> m_acceptedAt;
    /// The upstreams that are asked for their status, and what they answered.
    std::map<std::string, std::optional<UpstreamStatus>> m_statuses;
    /// Questions without an answer of any kind.
    std::set<std::string> m_outstanding;
    /// The primary that is replaced; empty if none led.
    std::string m_previousPrimary;
    /// Its last position, if it stepped down.
    Model::LogPosition m_target;
    std::string m_candidate;
    /// When an order without a clear answer is given again.
    std::optional<Model::Time> m_retryAt;
};

}
