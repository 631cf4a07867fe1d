#pragma once

#include "core/directory/upstream.h"
#include "core/proxy/connection.h"
#include "core/proxy/connectionledger.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Proxy {

/// The connections of this host to all upstreams. A connection belongs to one customer, because the customer
/// is announced to the upstream when the connection is opened. Used on one thread.
class Pool {
public:
    /// Registers a connection that is being opened.
    Connection& add(const Directory::Upstream& upstream, const std::string& customer, Model::Time now);
    Connection* find(ConnectionId id);
    /// Removes and returns a connection, which must exist.
    Connection take(ConnectionId id);
    void remove(ConnectionId id);

    /// Returns the customer's most recently used idle connection, or null.
    Connection* findIdle(const std::string& upstream, const std::string& customer);
    /// Returns an idle connection of any customer, or null.
    Connection* findAnyIdle(const std::string& upstream);
    /// Returns the least recently used idle connection of another customer, or null.
    Connection* findEvictable(const std::string& upstream, const std::string& customer);
    /// Returns the customers of the upstream's connections in this state, valid until the next change.
    std::vector<std::string_view> customers(const std::string& upstream, ConnectionState state) const;
    /// Returns whether the customer has a connection to the upstream, in whatever state.
    bool isConnected(const std::string& upstream, const std::string& customer) const;
    /// Returns whether another connection to the upstream may be opened now. `maximum` is the number of
    /// connections that this host may have to it.
    bool mayOpen(const std::string& upstream, int maximum, Model::Time now) const;
    /// Records that the upstream refused a connection because it has too many. No connection to it may be
    /// opened for a short time.
    void refused(const std::string& upstream, Model::Time now);
    /// Records that the upstream did not accept a connection. No connection to it may be opened for a time
    /// that grows with the number of such failures, up to a limit.
    void unreachable(const std::string& upstream, Model::Time now);

    /// Records that the upstream had no free execution slot for a statement.
    void busy(const std::string& upstream, Model::Time now);
    /// Returns whether opening a connection for the customer has to wait, because the upstream is busy and
    /// its statements need the execution slots. A customer without a connection is not affected, unless
    /// another connection is being opened.
    bool mustReserveSlots(const std::string& upstream, const std::string& customer, Model::Time now) const;

    int count(const std::string& upstream) const;
    int countInUse(const std::string& upstream) const;
    int countOpening(const std::string& upstream) const;

    /// Returns the idle connections to close: after a short idle time those beyond the guaranteed number of
    /// `share`, and the others before the upstream closes them.
    std::vector<ConnectionId> surplus(
        const std::function<ConnectionShare(const std::string& service, const std::string& upstream)>& share,
        Model::Time now) const;
    /// Returns the number of connections by upstream, including those that are being opened.
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
