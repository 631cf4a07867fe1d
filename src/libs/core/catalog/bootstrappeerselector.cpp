#include "core/catalog/bootstrappeerselector.h"

#include <algorithm>

namespace Catalog {

void BootstrapPeerSelector::addPeer(const std::string& peer) { m_peers.try_emplace(peer); }

void BootstrapPeerSelector::noteAnswer(const std::string& peer, std::uint64_t version)
{
    m_peers[peer] = { true, version };
}

void BootstrapPeerSelector::noteFailure(const std::string& peer) { m_peers[peer] = { true, 0 }; }

std::optional<std::string> BootstrapPeerSelector::selectedPeer() const
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
