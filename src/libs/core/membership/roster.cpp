#include "core/membership/roster.h"

#include "core/model/rendezvous.h"

#include <algorithm>
#include <set>

namespace Membership {

std::optional<Roster> nextRoster(
    const Roster& current, std::span<const Member> members, std::string_view ownName)
{
    const std::set<std::string> currentNames(current.names.begin(), current.names.end());
    std::set<std::string> nextNames;
    std::vector<std::string> candidates;
    for (const Member& member : members) {
        if (member.isLive() && !member.isUnconfirmed())
            candidates.push_back(member.name);
        if ((member.isLive() && !member.isUnconfirmed()) || currentNames.contains(member.name))
            nextNames.insert(member.name);
    }
    // Concurrent changes would be safe because of the conditional update, but a single editor avoids
    // conflicts in the store.
    const int editor = Model::rendezvousIndex("roster", candidates);
    if (editor < 0 || candidates[static_cast<std::size_t>(editor)] != ownName || nextNames == currentNames)
        return std::nullopt;
    const auto kept = std::ranges::count_if(
        currentNames, [&](const std::string& name) { return nextNames.contains(name); });
    if (kept * 2 <= std::ssize(currentNames) && !currentNames.empty())
        return std::nullopt;
    return Roster { current.version + 1, { nextNames.begin(), nextNames.end() }, current.names };
}

}
