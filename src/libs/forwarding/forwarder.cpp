#include "forwarding/forwarder.h"

#include "eventloop/loop.h"
#include "logging/log.h"

#include <algorithm>
#include <utility>

namespace Forwarding {

namespace {

    /// No more statements are sent on a connection with more unsent data: they would be in doubt if the pool
    /// host did not read on. Pings show whether it does.
    constexpr std::size_t maxUnsentBytes = 8UL * 1024 * 1024;
    /// Statements of a service that a host has declined are sent elsewhere for this long.
    constexpr Model::Duration serviceDeclinedPause = std::chrono::milliseconds(500);
    /// Calls of `update` that are further apart show that the process was paused.
    constexpr Model::Duration pauseThreshold = std::chrono::milliseconds(250);

}

Forwarder::Forwarder(EventLoop::Loop& loop, std::string self, std::string zone, ForwarderHooks hooks)
    : m_loop(loop)
    , m_self(std::move(self))
    , m_poolHosts(std::move(zone))
    , m_hooks(std::move(hooks))
{
}

Forwarder::~Forwarder() = default;

void Forwarder::setHosts(const std::vector<PoolHost>& hosts)
{
    std::vector<Placement::HostCapacity> capacities;
    std::map<std::string, std::string> addresses;
    for (const PoolHost& host : hosts) {
        capacities.push_back(host.capacity);
        addresses.emplace(host.capacity.host, host.address);
    }
    m_poolHosts.setHosts(capacities);
    std::swap(m_addresses, addresses);
    const Model::Time now = EventLoop::now();
    for (const auto& [host, address] : addresses) {
        const auto current = m_addresses.find(host);
        // A host that is shutting down deletes its row and still answers what it has taken.
        if (current != m_addresses.end() && current->second != address)
            lose(host, "the host has another address", now);
    }
}

Proxy::ForwardLinkId Forwarder::chooseLink(const std::string& service, Model::Time now)
{
    m_services.insert(service);
    for (const std::string& host : m_poolHosts.ranked(service)) {
        if (host == m_self)
            return 0;
        const auto link = m_links.find(host);
        if (link != m_links.end() && isUsable(link->second, service, now))
            return link->second.id;
    }
    return 0;
}

int Forwarder::poolHostCount(const std::string& service, Model::Time now) const
{
    for (const std::string& host : m_poolHosts.ranked(service)) {
        if (host == m_self)
            return m_poolHosts.zoneCount();
        const auto link = m_links.find(host);
        if (link != m_links.end() && isUsable(link->second, service, now))
            return 0;
    }
    return 0;
}

Forwarder::Link* Forwarder::findLink(Proxy::ForwardLinkId id)
{
    const auto host = m_hostsByLink.find(id);
    return host == m_hostsByLink.end() ? nullptr : &m_links.at(host->second);
}

bool Forwarder::isUsable(const Link& link, const std::string& service, Model::Time now)
{
    const auto declined = link.declinedUntil.find(service);
    return link.health.isUsable(now) && (declined == link.declinedUntil.end() || now >= declined->second);
}

bool Forwarder::isSuspect(Proxy::ForwardLinkId link, Model::Time now)
{
    const Link* target = findLink(link);
    return target && target->health.isSilent(now);
}

bool Forwarder::forward(Proxy::ForwardLinkId link, const Proxy::ForwardedStatement& statement)
{
    Link* target = findLink(link);
    if (!target || !target->stream)
        return false;
    const std::string message = encode(statement);
    if (message.size() > maxMessageBytes || target->stream->unsentBytes() + message.size() > maxUnsentBytes)
        return false;
    target->outstanding.insert_or_assign(statement.session, statement.route.service);
    target->health.setOutstanding(target->outstanding.size());
    target->stream->send(message);
    return true;
}

void Forwarder::end(Proxy::ForwardLinkId link, Proxy::SessionId session)
{
    Link* target = findLink(link);
    if (!target || !target->stream)
        return;
    target->outstanding.erase(session);
    target->health.setOutstanding(target->outstanding.size());
    target->stream->send(encode(End { session }));
}

/// The hosts that execute the statements of the services in use, or would if the first ones failed.
std::set<std::string> Forwarder::preferredHosts() const
{
    std::set<std::string> hosts;
    for (const std::string& service : m_services) {
        for (const std::string& host : m_poolHosts.ranked(service)) {
            if (host == m_self)
                break;
            hosts.insert(host);
        }
    }
    return hosts;
}

void Forwarder::update(Model::Time now)
{
    // What has arrived during a pause is not read yet.
    if (m_updatedAt && now - *m_updatedAt > pauseThreshold)
        processPaused(now);
    m_updatedAt = now;
    for (const std::string& host : preferredHosts())
        m_links.try_emplace(host);
    std::vector<std::string> hosts;
    for (const auto& [host, link] : m_links)
        hosts.push_back(host);
    for (const std::string& host : hosts)
        updateLink(host, m_links.at(host), now);
}

void Forwarder::updateLink(const std::string& host, Link& link, Model::Time now)
{
    if (link.health.isUnresponsive(now))
        return lose(host, "no response", now);
    if (link.health.shouldConnect(now))
        return connect(host, link, now);
    if (!link.health.isPingDue(now))
        return;
    link.health.pinged(now);
    link.stream->send(encode(Ping {}));
}

void Forwarder::connect(const std::string& host, Link& link, Model::Time now)
{
    const auto address = m_addresses.find(host);
    if (address == m_addresses.end() || address->second.empty())
        return;
    link.id = ++m_lastLink;
    m_hostsByLink.emplace(link.id, host);
    link.outstanding.clear();
    link.health.connecting(now);
    MessageStreamHooks hooks;
    hooks.connected = [this, id = link.id] {
        if (Link* open = findLink(id))
            open->health.connected(EventLoop::now());
    };
    hooks.received = [this, id = link.id](std::string_view bytes) { receive(id, bytes); };
    hooks.closed = [this, id = link.id, host] {
        if (findLink(id))
            lose(host, "connection closed", EventLoop::now());
    };
    link.stream = std::make_unique<MessageStream>(m_loop, address->second, std::move(hooks));
}

void Forwarder::receive(Proxy::ForwardLinkId id, std::string_view bytes)
{
    const auto found = m_hostsByLink.find(id);
    // The link was given up after the data had arrived.
    if (found == m_hostsByLink.end())
        return;
    const std::string host = found->second;
    const Model::Time now = EventLoop::now();
    const auto message = decode(bytes);
    Link& link = m_links.at(host);
    link.health.received(now);
    if (!message) {
        Logging::write(Logging::EventId::PeerMessageMalformed, { { "member", host } });
        return lose(host, "malformed message", now);
    }
    if (const auto* reply = std::get_if<StatementReply>(&*message)) {
        link.outstanding.erase(reply->session);
        link.health.setOutstanding(link.outstanding.size());
        m_hooks.answered(*reply);
    } else if (const auto* decline = std::get_if<Decline>(&*message)) {
        const auto declined = link.outstanding.extract(decline->session);
        link.health.setOutstanding(link.outstanding.size());
        if (!decline->isForService)
            link.health.declined(now);
        else if (!declined.empty())
            link.declinedUntil[declined.mapped()] = now + serviceDeclinedPause;
        m_hooks.declined(*decline);
    } else if (std::holds_alternative<Drain>(*message)) {
        link.health.setDraining();
    }
}

void Forwarder::lose(const std::string& host, std::string_view reason, Model::Time now)
{
    const auto found = m_links.find(host);
    if (found == m_links.end() || !found->second.stream)
        return;
    Link& link = found->second;
    if (link.health.state() == Placement::LinkState::Up) {
        Logging::write(
            Logging::EventId::PoolHostLost, { { "member", host }, { "reason", std::string(reason) } });
    }
    const Proxy::ForwardLinkId id = link.id;
    link.health.lost(now);
    m_hostsByLink.erase(id);
    // Destroyed after the callbacks that may have called this function have returned.
    m_loop.post([stream = std::shared_ptr<MessageStream>(std::move(link.stream))] {});
    m_hooks.linkLost(id);
}

void Forwarder::processPaused(Model::Time now)
{
    for (auto& [host, link] : m_links)
        link.health.processPaused(now);
}

}
