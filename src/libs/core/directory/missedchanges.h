#pragma once

#include "core/model/time.h"

#include <cstdint>
#include <optional>

namespace Directory {

/// Tells when this host has missed changes of a table that other hosts have read: the connection on which it
/// waits for them has then gone silent. Used on one thread.
class MissedChanges {
public:
    /// This host has read a change.
    void read(std::uint64_t version);
    /// Another host has read a change.
    void reportedByPeer(std::uint64_t version, Model::Time now);
    /// Whether this host has lacked a change for longer than its own reading takes. Starts to count again
    /// if so, since a new connection needs time as well.
    bool takeMissed(Model::Time now);
    /// The newest change that this host has read; 0 for none.
    std::uint64_t version() const { return m_read; }

private:
    std::uint64_t m_read = 0;
    std::uint64_t m_reported = 0;
    std::optional<Model::Time> m_missedSince;
};

}
