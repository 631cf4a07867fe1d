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
#include <vector>

namespace Failover {

enum class PromotionRequestResult : std::uint8_t {
    Accepted,
    /// A newer holder of the lease has requested a promotion, or the upstream does not run.
    Refused,
    /// The request was not carried out.
    Unavailable,
    /// The request may have been carried out, or may still be.
    Unknown,
};

enum class PromotionPhase : std::uint8_t {
    /// Acquires the promotion lease; printed as `taking_duty`.
    TakingDuty,
    /// Waits until no host uses the previous primary any more.
    Fencing,
    /// Requests the log positions of the service's upstreams.
    Surveying,
    /// The replicas are requested to receive nothing more, so that their logs stay as they are compared.
    Pausing,
    /// The current primary is requested to stop accepting writes.
    SteppingDown,
    /// The most advanced replica receives the rest of the previous primary's log.
    CatchingUp,
    /// Writes the chosen upstream to the row of the lease, before the promotion is requested.
    Recording,
    /// Waits for the answer to the promotion request; printed as `ordering`.
    Requesting,
    /// The request was accepted; the upstream is not the primary yet.
    Awaiting,
    Finished,
    Failed,
};

std::string_view promotionPhaseName(PromotionPhase phase);

/// Whether the acquisition of a lease also ends the use of any primary of the service.
enum class Fence : std::uint8_t { None, Set };

/// Last status of each upstream by its id; `nullopt` if it has not responded.
using UpstreamStatuses = std::map<std::string, std::optional<UpstreamStatus>>;

/// What a survey has found.
struct SurveyResult {
    UpstreamStatuses statuses;
    /// The upstreams whose logs have entries that an earlier promotion rolled back.
    std::vector<std::string> diverged;
    /// Empty if no upstream can be promoted.
    std::string candidate;
};

/// Callbacks that a promotion needs. Answers are delivered by calls of `Promotion`.
struct PromotionHooks {
    /// Acquires the lease, and with a fence ends the use of any primary of the service.
    std::function<void(const std::string& service, Fence)> acquireLease;
    /// Writes `promotions()` to the row of the lease. Where the hosts need a fence, also allows the use of
    /// the upstream as the primary, and of no other one.
    std::function<void(const std::string& service, const std::string& upstream)> recordCandidate;
    /// Whether no host uses a primary of the service any more; empty if the platform's promotion takes the
    /// role from the previous primary.
    std::function<bool(const std::string& service, Model::Time now)> isFenceEffective;
    std::function<void(const std::string& upstream)> requestStatus;
    std::function<void(const std::string& upstream, std::uint64_t term)> stepDown;
    /// Makes a replica receive nothing until it is resumed or an upstream is promoted, unless it knows a
    /// primary of this term or a later one.
    std::function<void(const std::string& upstream, std::uint64_t term)> pause;
    std::function<void(const std::string& upstream)> resume;
    std::function<void(const std::string& service, const std::string& upstream, FencingToken)>
        requestPromotion;
    /// Whether the upstream may still respond; if not, the survey does not wait for it.
    std::function<bool(const std::string& upstream)> isReachable;
    /// Whether an upstream that reports an empty log may have had another one lately.
    std::function<bool(const std::string& upstream, Model::Time now)> mayHaveLostLog;
    /// The last log position that the upstream reported in a response of any kind.
    std::function<Model::LogPosition(const std::string& upstream)> knownPosition;
    /// Called when the new primary is chosen, for logs.
    std::function<void(const SurveyResult&)> surveyed;
    /// Whether upstreams with entries that an earlier promotion rolled back may be promoted, because no other
    /// has appeared for long.
    std::function<bool(Model::Time now)> mayPromoteDiverged;
};

/// One replacement of a service's primary by the replica that has received the longest log. Used on one
/// thread.
///
/// Where commits wait for synchronous replicas, an acknowledged one is in the log of at least as many
/// replicas. No upstream is promoted before so many replicas have responded that one of them must have it,
/// not counting those that may have lost their logs, and the longest log decides, also if its upstream is
/// about to leave or its entry was removed. The replaced primary may still run and be in use by hosts that
/// reach it. So the replicas that have responded are paused before their logs are compared: too few others
/// are left for it to acknowledge a commit.
///
/// A request without a definite answer may be carried out later, and replicas stay paused until then. If the
/// primary keeps its role, a further promotion, of this primary, prevents that and resumes the replicas.
///
/// An upstream that has entries which an earlier promotion rolled back is not promoted: reads have run on the
/// replaced primary without them. So a promotion is recorded before it is requested, and counts unless it
/// certainly has not taken place.
class Promotion {
public:
    /// `previousPrimary` is the last known primary of the service, also if it is no longer registered; empty
    /// if none is known.
    Promotion(const Directory::View& view, std::string service, PromotionReason reason,
        std::string previousPrimary, PromotionHooks hooks, Model::Time now);

    /// `token` is `nullopt` if the lease could not be acquired. `recorded` are the promotions that the lease
    /// had recorded.
    void leaseAcquired(std::optional<FencingToken> token, Model::Time now, const TermHistory& recorded = {});
    /// Answer to `recordCandidate`; `isRecorded` is false if the store did not confirm it.
    void candidateRecorded(bool isRecorded, Model::Time now);
    /// Response to `requestStatus` or `stepDown`; `nullopt` if the upstream did not respond.
    void statusArrived(
        const std::string& upstream, const std::optional<UpstreamStatus>& status, Model::Time now);
    /// Response to `pause` with this term; `nullopt` if the upstream did not respond.
    void pauseAnswered(const std::string& upstream, std::uint64_t term,
        const std::optional<UpstreamStatus>& status, Model::Time now);
    void promotionAnswered(PromotionRequestResult result, Model::Time now);
    /// Advances the promotion; has to be called after changes of the directory and periodically.
    void update(Model::Time now);

    PromotionPhase phase() const { return m_phase; }
    /// Whether it has failed, but may still take place, or has left replicas paused.
    bool isUnfinished() const;
    bool isOver() const { return m_phase == PromotionPhase::Finished || m_phase == PromotionPhase::Failed; }
    const std::string& service() const { return m_service; }
    /// Whether this host holds the lease, so that the others need not try to acquire it.
    bool holdsLease() const { return m_token != 0 && !isOver(); }
    /// Id of the upstream to promote; empty before it is chosen.
    const std::string& candidate() const { return m_candidate; }
    PromotionReason reason() const { return m_reason; }
    Model::Time startedAt() const { return m_startedAt; }
    FencingToken token() const { return m_token; }
    /// The promotions that may have taken place, as the row of the lease should have them: with this one once
    /// its candidate is chosen, unless it has certainly not taken place.
    const TermHistory& promotions() const
    {
        // Until the promoter has confirmed the primary, an earlier request may still be carried out.
        return m_confirmsPrimary && !m_acceptedAt ? m_recorded : m_promotions;
    }
    /// Until when the promotion request may be sent.
    Model::Time leaseEnd() const;
    /// When the new primary is expected to accept writes if it takes `promotionDuration` from the acceptance
    /// of the promotion request.
    Model::Time expectedEnd(Model::Duration promotionDuration, Model::Time now) const;
    /// When the promotion request was accepted; `nullopt` before.
    std::optional<Model::Time> acceptedAt() const { return m_acceptedAt; }

private:
    void enter(PromotionPhase phase, Model::Time now);
    void fail(Model::Time now);
    void finish(Model::Time now);
    bool asksPreviousPrimary() const;
    void acquireLease(Fence fence, Model::Time now);
    void requestPromotion(Model::Time now);
    void stepDownPreviousPrimary();
    void stepDownFailed(Model::Time now);
    std::uint64_t knownTerm() const;
    std::uint64_t nextTerm() const;
    bool isNewestKnown() const;
    bool mayEarlierTakePlace() const;
    bool isNewestRefuted() const;
    void updateHistory();
    bool hasDiverged(const Model::LogPosition& position) const;
    Model::LogPosition lastPosition(const std::string& upstream) const;
    std::vector<std::string> divergedUpstreams() const;
    void survey(Model::Time now);
    void requestStatus(const std::string& upstream);
    void continueSurvey(Model::Time now);
    std::vector<std::string> surveyedUpstreams() const;
    void updateSurveyedUpstreams();
    bool mustPauseReplicas() const;
    void pauseReplicas(Model::Time now);
    void requestPauses(Model::Time now);
    void requestPause(const std::string& upstream);
    void continuePausing(Model::Time now);
    void resumeReplicas(Model::Time now);
    bool isSurveySufficient(Model::Time now) const;
    bool isEvidence(
        const std::string& upstream, const std::optional<UpstreamStatus>& status, Model::Time now) const;
    bool hasCommits() const;
    bool isGone(const std::string& upstream, Model::Time now) const;
    void finishSurvey(Model::Time now);
    void finishEarlierPromotion(Model::Time now);
    void promote(const std::string& candidate, Model::Time now);
    void addCandidate();
    void continueAwaiting(Model::Time now);
    void adoptTermOfCandidate(const UpstreamStatus& status);
    int synchronousReplicas() const;
    bool hasLogOfPreviousTerm(const UpstreamStatus& status) const;
    std::string bestReplica() const;
    enum class PreviousPrimary : std::uint8_t { Excluded, Included };
    std::string longestLog(PreviousPrimary previousPrimary) const;
    bool hasNewPrimary() const;

    const Directory::View& m_view;
    std::string m_service;
    PromotionReason m_reason;
    PromotionHooks m_hooks;
    PromotionPhase m_phase = PromotionPhase::TakingDuty;
    Model::Time m_startedAt;
    Model::Time m_phaseAt;
    /// When the acquisition of the lease began.
    Model::Time m_leaseRequestedAt;
    Model::Time m_statusRequestedAt;
    FencingToken m_token = 0;
    Fence m_fence = Fence::None;
    std::optional<Model::Time> m_acceptedAt;
    /// The upstreams whose status is requested, with their last response.
    UpstreamStatuses m_statuses;
    /// The upstreams with a status request that neither was answered nor has failed.
    std::set<std::string> m_outstanding;
    /// The replicas that were requested to pause, and have not been resumed.
    std::set<std::string> m_paused;
    std::uint64_t m_pauseTerm = 0;
    /// Id of the primary that is replaced; empty if there was none.
    std::string m_previousPrimary;
    /// Its last position, if it stepped down.
    Model::LogPosition m_target;
    std::string m_candidate;
    /// Term of the candidate as the primary.
    std::uint64_t m_term = 0;
    /// The candidate is the primary already, so that its promotion begins no term.
    bool m_confirmsPrimary = false;
    /// End of the candidate's log.
    Model::LogPosition m_candidateEnd;
    /// `m_term` may be too high, since it is not known whether the newest recorded promotion has taken place.
    bool m_isTermUncertain = false;
    bool m_hasOutstandingRequest = false;
    /// A promotion request got no definite answer, so that it may still be carried out.
    bool m_hasUnknownRequest = false;
    /// The promotions that the lease had recorded.
    TermHistory m_recorded;
    TermHistory m_promotions;
    bool m_mayPromoteDiverged = false;
    /// When a promotion request that is unavailable or has an unknown outcome is repeated.
    std::optional<Model::Time> m_retryAt;
};

}
