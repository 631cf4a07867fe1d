#include "core/membership/roster.h"

#include "core/model/rendezvous.h"

#include <algorithm>
#include <set>

namespace Membership {

std::optional<Roster> nextRoster(
    const Roster& present, std::span<const Member> members, std::string_view ownName)
{
    const std::set<std::string> presentNames(present.names.begin(), present.names.end());
    std::set<std::string> nextNames;
    std::vector<std::string> editors;
    for (const Member& member : members) {
        if (member.isLive() && !member.isUnconfirmed())
            editors.push_back(member.name);
        if ((member.isLive() && !member.isUnconfirmed()) || presentNames.contains(member.name))
            nextNames.insert(member.name);
    }
    // Two editors at once do no harm; one spares the store conflicts.
    const int editor = Model::rendezvousIndex("roster", editors);
    if (editor < 0 || editors[static_cast<std::size_t>(editor)] != ownName || nextNames == presentNames)
        return std::nullopt;
    const auto kept = std::ranges::count_if(
        presentNames, [&](const std::string& name) { return nextNames.contains(name); });
    if (kept * 2 <= std::ssize(presentNames) && !presentNames.empty())
        return std::nullopt;
    return Roster { present.version + 1, { nextNames.begin(), nextNames.end() }, present.names };
}

}
