#pragma once

#include "core/model/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace Placement {

enum class LinkState : std::uint8_t { Down, Connecting, Up };

/// Decides whether the connection to another host may be used, from what was sent and received on it.
///
/// A connection may fall silent without being closed, for example if the other host is frozen or has lost
/// power. Pings show that soon: several a second while answers are outstanding, otherwise one a second. Used
/// on one thread.
class LinkHealth {
public:
    LinkState state() const { return m_state; }
    /// Whether a new connection should be opened now.
    bool shouldConnect(Model::Time now) const;
    void connecting(Model::Time now);
    void connected(Model::Time now);
    /// The connection was lost, could not be opened, or was closed because it was unresponsive.
    void lost(Model::Time now);

    /// Anything was received.
    void received(Model::Time now);
    /// Sets the number of statements whose answers are outstanding.
    void setOutstanding(std::size_t count) { m_outstanding = count; }
    bool isPingDue(Model::Time now) const;
    void pinged(Model::Time now);
    /// Whether the connection has to be closed: it was not opened in time, or a ping has not been answered.
    bool isUnresponsive(Model::Time now) const;
    /// This process was paused; what has arrived meanwhile is not read yet.
    void processPaused(Model::Time now);

    /// The other host is shutting down.
    void setDraining() { m_isDraining = true; }
    /// The other host could not take a statement, for example because it has no configuration yet.
    void declined(Model::Time now);
    /// Whether a ping has not been answered for a while, though not long enough to close the connection.
    bool isSilent(Model::Time now) const;
    /// Whether new operations may be sent.
    bool isUsable(Model::Time now) const;

private:
    LinkState m_state = LinkState::Down;
    Model::Time m_changedAt;
    Model::Time m_lastReceived;
    /// Oldest ping without anything received after it.
    std::optional<Model::Time> m_pingedAt;
    /// No connection is opened, or no new operation sent, before these times.
    std::optional<Model::Time> m_connectAt;
    std::optional<Model::Time> m_usableAt;
    std::size_t m_outstanding = 0;
    bool m_isDraining = false;
};

}
