#pragma once

#include "core/replication/action.h"
#include "core/replication/memberview.h"

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace Replication {

/// One attempt to make a member primary under one term: fences a majority, then promotes one of the
/// fenced members. The attempt promotes only one member, so that a term never has two primaries. Used
/// under the group's mutex.
class Promotion {
public:
    enum class State : std::uint8_t {
        Fencing,
        Promoting,
        Succeeded,
        /// A member has promised a higher term.
        Superseded,
        TimedOut,
    };

    /// `avoided` names a primary that answers but must not be chosen again; it may be empty.
    Promotion(std::uint64_t term, std::span<const MemberView> members, std::string previousPrimary,
        std::string excluded, Model::Time now);

    std::uint64_t term() const { return m_term; }
    State state() const { return m_state; }
    /// The chosen member; empty while fencing.
    const std::string& candidate() const { return m_candidate; }

    /// A member reported, in answer to any call.
    void observe(const std::string& name, const Report& report);
    /// The response to a fence or promote was lost: the call may have taken effect.
    void responseLost(const std::string& name);
    void promoted() { m_state = State::Succeeded; }

    /// Advances the attempt and appends the calls to make.
    void advance(std::vector<MemberView>& members, std::vector<Action>& actions, Model::Time now);

private:
    enum class CallState : std::uint8_t {
        /// The call has to be sent.
        Due,
        Sent,
        /// Its effect is read from the member's status.
        Unknown,
        Done,
    };

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
    /// The member to promote, as soon as waiting for further fences is of no use.
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
