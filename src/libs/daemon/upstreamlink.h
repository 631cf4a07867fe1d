#pragma once

#include "core/scheduling/connectionpool.h"
#include "core/scheduling/ramp.h"
#include "database/upstreamclient.h"

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>

namespace Daemon {

/// The configuration of one upstream.
struct UpstreamConfig {
    std::string name;
    std::string address;
    std::string zone;
    Scheduling::PoolSettings pool;
    Scheduling::UpstreamState state = Scheduling::UpstreamState::Active;
    Scheduling::Ramp::ZoneState zoneState = Scheduling::Ramp::ZoneState::In;
};

/// The connections of a group's owner to one upstream: the pool that decides on them, and their clients. Not
/// thread-safe: the caller holds the group's mutex. A client in use belongs to the thread that runs the
/// statement.
class UpstreamLink {
public:
    UpstreamLink(const UpstreamConfig& config, Model::Time now);

    const std::string& name() const { return m_config.name; }
    const std::string& address() const { return m_config.address; }
    const std::string& zone() const { return m_config.zone; }
    Scheduling::ConnectionPool& pool() { return m_pool; }
    const Scheduling::ConnectionPool& pool() const { return m_pool; }
    void configure(const UpstreamConfig& config, Model::Time now);
    /// Whether the upstream is a candidate for one read now. False for a share of the reads while its
    /// availability zone ramps up after it was put back in service.
    bool admitsRead(Model::Time now, std::mt19937_64& generator) const
    {
        return m_ramp.admits(now, generator);
    }

    using ClientPointer = std::shared_ptr<Database::UpstreamClient>;
    ClientPointer client(Scheduling::ConnectionId connection) const;
    void addClient(Scheduling::ConnectionId connection, ClientPointer client);
    /// Removes the client; its TCP connection is closed with the last reference.
    void removeClient(Scheduling::ConnectionId connection);

private:
    UpstreamConfig m_config;
    Scheduling::ConnectionPool m_pool;
    Scheduling::Ramp m_ramp;
    std::map<Scheduling::ConnectionId, ClientPointer> m_clients;
};

}
