#include "daemon/upstreamlink.h"

namespace Daemon {

UpstreamLink::UpstreamLink(const UpstreamConfig& config, Model::Time now)
    : m_config(config)
    , m_pool(config.pool)
    , m_ramp(config.zoneState)
{
    configure(config, now);
}

void UpstreamLink::configure(const UpstreamConfig& config, Model::Time now)
{
    m_config = config;
    m_pool.setSettings(config.pool, now);
    m_pool.setState(config.state);
    m_ramp.setState(config.zoneState, now);
}

UpstreamLink::ClientPointer UpstreamLink::client(Scheduling::ConnectionId connection) const
{
    const auto found = m_clients.find(connection);
    return found == m_clients.end() ? nullptr : found->second;
}

void UpstreamLink::addClient(Scheduling::ConnectionId connection, ClientPointer client)
{
    m_clients[connection] = std::move(client);
}

void UpstreamLink::removeClient(Scheduling::ConnectionId connection) { m_clients.erase(connection); }

}
