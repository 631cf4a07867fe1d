#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace Catalog {

/// Selects the peer from which a new host pulls its first version while the store is unavailable. A single
/// peer may have an outdated version, so the peer with the highest version among at least 3 responses, or
/// among all known peers, is selected. Used on one thread.
class BootstrapPeerSelector {
public:
    static constexpr std::size_t minAnswers = 3;

    /// Adds a known peer; no effect if it was added before.
    void addPeer(const std::string& peer);
    /// Records the version of a peer. `version` is 0 if the peer has none itself; such a response does not
    /// count towards `minAnswers`.
    void noteAnswer(const std::string& peer, std::uint64_t version);
    /// Records that a peer did not respond. Until it does, it does not count as a known peer.
    void noteFailure(const std::string& peer);

    /// Returns the peer to pull from; nullopt while too few peers have responded or none has a version.
    std::optional<std::string> selectedPeer() const;

private:
    struct Answer {
        /// The peer has responded or failed to respond.
        bool isSettled = false;
        std::uint64_t version = 0;
    };

    std::map<std::string, Answer> m_peers;
};

}
