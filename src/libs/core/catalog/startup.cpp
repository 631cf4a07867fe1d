#include "core/catalog/startup.h"

#include <algorithm>

namespace Catalog {

void Startup::addPeer(const std::string& peer) { m_peers.try_emplace(peer); }

void Startup::noteAnswer(const std::string& peer, std::uint64_t version)
{
    m_peers[peer] = { true, version };
}

void Startup::noteFailure(const std::string& peer) { m_peers[peer] = { true, 0 }; }

std::optional<std::string> Startup::choice() const
{
    const auto hasVersion = [](const auto& peer) { return peer.second.version > 0; };
    const auto answers = static_cast<std::size_t>(std::ranges::count_if(m_peers, hasVersion));
    const bool areAllSettled
        = std::ranges::all_of(m_peers, [](const auto& peer) { return peer.second.isSettled; });
    if (answers == 0 || (answers < minAnswers && !areAllSettled))
        return std::nullopt;
    return std::ranges::max_element(m_peers, {}, [](const auto& peer) { return peer.second.version; })->first;
}

}
