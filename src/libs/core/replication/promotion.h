#pragma once

#include "core/replication/action.h"
#include "core/replication/memberview.h"

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace Replication {

/// One attempt to make a member the primary under one term: fences a majority, then promotes one of the
/// fenced members. An attempt never promotes a second member, so that a term never has two primaries. Not
/// thread-safe: the caller holds the group's mutex.
class Promotion {
public:
    enum class State : std::uint8_t {
        Fencing,
        Promoting,
        Succeeded,
        /// A member has promised a higher term.
        Superseded,
        /// A phase exceeded `fencingLimit` or `promotingLimit`.
        TimedOut,
    };

    /// `previousPrimary` may be empty. `excluded` is the name of a stalled primary that responds but must
    /// not be chosen again; it may be empty.
    Promotion(std::uint64_t term, std::span<const MemberView> members, std::string previousPrimary,
        std::string excluded, Model::Time now);

    std::uint64_t term() const { return m_term; }
    State state() const { return m_state; }
    /// The chosen member; empty while fencing.
    const std::string& candidate() const { return m_candidate; }

    /// Evaluates a report of the member, whichever call it responds to.
    void observe(const std::string& name, const Report& report);
    /// Records that a fence or promote call got no response. The call may have taken effect.
    void responseLost(const std::string& name);
    /// Records that the candidate accepted the promote call.
    void promoted() { m_state = State::Succeeded; }

    /// Advances the attempt and appends the calls to make.
    void advance(std::vector<MemberView>& members, std::vector<Action>& actions, Model::Time now);

private:
    enum class CallState : std::uint8_t {
        /// The call has to be sent.
        Due,
        /// The call was sent and its response is outstanding.
        Sent,
        /// It is unknown whether the call took effect; the member's next status decides.
        Unknown,
        /// The call took effect.
        Done,
    };

    /// The fence call to one member, or the promote call to the candidate.
    struct Step {
        std::string member {};
        CallState call = CallState::Due;
        Model::Time sentAt {};
        Model::LogPosition lastEntry {};
    };

    Step& step(const std::string& name);
    void expire(Step& step, MemberView& view, Model::Time now);
    void advanceFencing(std::vector<MemberView>& members, std::vector<Action>& actions, Model::Time now);
    void advancePromoting(std::vector<MemberView>& members, std::vector<Action>& actions, Model::Time now);
    /// The member to promote, once no further fence needs to be awaited; `std::nullopt` until then.
    std::optional<std::string> choice(std::span<const MemberView> members, Model::Time now) const;

    std::uint64_t m_term;
    std::string m_previousPrimary;
    std::string m_excluded;
    Model::Time m_phaseStartedAt;
    State m_state = State::Fencing;
    std::string m_candidate;
    std::vector<Step> m_fences;
    Step m_promote;
};

}
