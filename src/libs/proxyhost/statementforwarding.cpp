#include "proxyhost/statementforwarding.h"

#include "eventloop/loop.h"
#include "sessionserver/server.h"

#include <utility>

namespace ProxyHost {

StatementForwarding::StatementForwarding(EventLoop::Loop& loop, std::string self, std::string zone,
    SessionServer::Server& server, std::function<bool()> isConfigured)
    : m_server(server)
    , m_forwarder(loop, std::move(self), std::move(zone), forwarderHooks())
    , m_receiver(loop, receiverHooks(std::move(isConfigured)))
{
}

void StatementForwarding::addHooks(
    SessionServer::ServerHooks& hooks, const std::function<StatementForwarding&()>& forwarding)
{
    hooks.chooseLink = [forwarding](const std::string& service, Model::Time now) {
        return forwarding().m_forwarder.chooseLink(service, now);
    };
    hooks.forward = [forwarding](Proxy::ForwardLinkId link, const Proxy::ForwardedStatement& statement) {
        return forwarding().m_forwarder.forward(link, statement);
    };
    hooks.endForwarded = [forwarding](Proxy::ForwardLinkId link, Proxy::SessionId session) {
        forwarding().m_forwarder.end(link, session);
    };
    hooks.isLinkSuspect = [forwarding](Proxy::ForwardLinkId link, Model::Time now) {
        return forwarding().m_forwarder.isSuspect(link, now);
    };
    hooks.declineForwarded = [forwarding](Proxy::SessionId id) { forwarding().m_receiver.decline(id); };
    hooks.poolHostCount = [forwarding](const std::string& service) {
        return forwarding().m_forwarder.poolHostCount(service, EventLoop::now());
    };
    hooks.replyForwarded = [forwarding](Proxy::SessionId id, const Proxy::Reply& reply) {
        if (!Forwarding::Receiver::isForwarded(id))
            return false;
        forwarding().m_receiver.reply(id, reply);
        return true;
    };
    hooks.closeForwarded = [forwarding](Proxy::SessionId id) {
        if (!Forwarding::Receiver::isForwarded(id))
            return false;
        forwarding().m_receiver.forget(id);
        return true;
    };
    hooks.processPaused = [forwarding](Model::Time now) { forwarding().m_forwarder.processPaused(now); };
}

Forwarding::ForwarderHooks StatementForwarding::forwarderHooks()
{
    Forwarding::ForwarderHooks hooks;
    hooks.answered = [this](Forwarding::StatementReply reply) {
        m_server.forwardAnswered(reply.session, reply.sequence, std::move(reply.reply));
    };
    hooks.declined = [this](const Forwarding::Decline& decline) {
        m_server.forwardDeclined(decline.session, decline.sequence);
    };
    hooks.linkLost = [this](Proxy::ForwardLinkId link) { m_server.forwardLinkLost(link); };
    return hooks;
}

Forwarding::ReceiverHooks StatementForwarding::receiverHooks(std::function<bool()> isConfigured)
{
    Forwarding::ReceiverHooks hooks;
    hooks.received = [this](Proxy::SessionId id, Proxy::ForwardedStatement statement) {
        m_server.handleForwarded(id, std::move(statement));
    };
    hooks.ended = [this](Proxy::SessionId id) { m_server.endForwardedSession(id); };
    hooks.isConfigured = std::move(isConfigured);
    return hooks;
}

std::optional<std::string> StatementForwarding::listen(const std::string& ip, int firstPort, int lastPort)
{
    auto error = m_receiver.listen(ip, firstPort, lastPort);
    if (!error)
        m_address = ip + ":" + std::to_string(m_receiver.port());
    return error;
}

void StatementForwarding::hostsChanged(const std::vector<StoreRow>& rows, bool isComplete)
{
    if (isComplete)
        m_hosts.clear();
    for (const StoreRow& row : rows) {
        HostRow host = row.isDeleted ? HostRow {} : parseHostRow(row.value);
        if (host.forwardAddress.empty())
            m_hosts.erase(row.key);
        else
            m_hosts.insert_or_assign(row.key, std::move(host));
    }
    std::vector<Forwarding::PoolHost> hosts;
    for (const auto& [name, row] : m_hosts)
        hosts.push_back({ { name, row.zone, row.processorShare }, row.forwardAddress });
    m_forwarder.setHosts(hosts);
}

}
