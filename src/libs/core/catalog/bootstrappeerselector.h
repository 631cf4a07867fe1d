#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace Catalog {

/// Decides from which peer a new host takes its first version while the store is down. One peer alone may
/// lag behind, so the highest version of at least 3 peers, or of all that exist, is taken. Used on one
/// thread.
class BootstrapPeerSelector {
public:
    static constexpr std::size_t minAnswers = 3;

    /// The peers that are known to exist; may be called again when more are learnt of.
    void addPeer(const std::string& peer);
    /// 0 if the peer has no version itself. Such an answer says nothing about which version is the latest.
    void noteAnswer(const std::string& peer, std::uint64_t version);
    /// The peer did not answer, so it does not count among those that exist until it does.
    void noteFailure(const std::string& peer);

    /// The peer to pull from; nothing while too few have answered or none of them has a version.
    std::optional<std::string> selectedPeer() const;

private:
    struct Answer {
        bool isSettled = false;
        std::uint64_t version = 0;
    };

    std::map<std::string, Answer> m_peers;
};

}
