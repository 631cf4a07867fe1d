#pragma once

#include "core/directory/upstream.h"
#include "core/proxy/connection.h"
#include "core/proxy/connectionledger.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace Proxy {

/// The connections of this host to all upstreams. A connection belongs to one customer, because upstreams
/// are told the customer when it is opened. Used on one thread.
class Pool {
public:
    /// Registers a connection that is being opened.
    Connection& add(const Directory::Upstream& upstream, const std::string& customer, Model::Time now);
    Connection* find(ConnectionId id);
    /// Removes and returns a connection that exists.
    Connection take(ConnectionId id);
    void remove(ConnectionId id);

    /// The idle connection of a customer that was used last, or null.
    Connection* findIdle(const std::string& upstream, const std::string& customer);
    /// An idle connection of any customer, or null.
    Connection* findAnyIdle(const std::string& upstream);
    /// The idle connection that was used longest ago and belongs to another customer, or null.
    Connection* findEvictable(const std::string& upstream, const std::string& customer);
    /// Whether another connection to the upstream may be opened now, if this host may hold `most`.
    bool mayOpen(const std::string& upstream, int maximum, Model::Time now) const;
    /// The upstream refused a connection because it has too many; nothing is opened there for a while.
    void refused(const std::string& upstream, Model::Time now);
    /// The upstream did not accept a connection; nothing is opened there for a while.
    void unreachable(const std::string& upstream, Model::Time now);

    /// The upstream had no slot for a statement.
    void busy(const std::string& upstream, Model::Time now);
    /// Whether a connection for the customer has to wait, since opening it would take slots that the busy
    /// upstream's statements need.
    bool mustReserveSlots(const std::string& upstream, const std::string& customer, Model::Time now) const;

    int count(const std::string& upstream) const;
    int countInUse(const std::string& upstream) const;
    int countOpening(const std::string& upstream) const;

    /// Idle connections that are no longer worth keeping.
    std::vector<ConnectionId> surplus(
        const std::function<ConnectionShare(const std::string& service, const std::string& upstream)>& share,
        Model::Time now) const;
    /// Open connections by upstream.
    std::map<std::string, int> openCounts() const;

    std::unordered_map<ConnectionId, Connection>& connections() { return m_connections; }
    const std::unordered_map<ConnectionId, Connection>& connections() const { return m_connections; }

private:
    template <typename Matches, typename IsBefore>
    Connection* findBestIdle(const std::string& upstream, Matches matches, IsBefore isBefore);
    int count(const std::string& upstream, ConnectionState state) const;

    struct UpstreamEntry {
        std::vector<ConnectionId> connections;
        std::optional<Model::Time> closedUntil;
        std::optional<Model::Time> busyAt;
        int failedOpenings = 0;
    };

    std::unordered_map<ConnectionId, Connection> m_connections;
    std::unordered_map<std::string, UpstreamEntry> m_upstreams;
    ConnectionId m_lastId = 0;
};

}
