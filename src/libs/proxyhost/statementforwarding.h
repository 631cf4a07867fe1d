#pragma once

#include "forwarding/forwarder.h"
#include "forwarding/receiver.h"
#include "proxyhost/rows.h"
#include "proxyhost/store.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace SessionServer {
class Server;
struct ServerHooks;
}

namespace ProxyHost {

/// Lets the pool hosts execute the statements of this host's sessions, and executes those of other hosts.
/// Used on the loop's thread.
class StatementForwarding {
public:
    /// `isConfigured` returns whether this host can execute statements.
    StatementForwarding(EventLoop::Loop& loop, std::string self, std::string zone,
        SessionServer::Server& server, std::function<bool()> isConfigured);

    /// Adds the hooks by which the server forwards statements. They call this object, which `forwarding`
    /// returns, since the server is constructed before it.
    static void addHooks(
        SessionServer::ServerHooks& hooks, const std::function<StatementForwarding&()>& forwarding);

    /// Listens for the statements of other hosts. Returns an error message, or `nullopt` on success.
    std::optional<std::string> listen(const std::string& ip, int firstPort, int lastPort);
    /// IP:PORT on which it listens.
    const std::string& address() const { return m_address; }
    /// Takes the rows of hosts that have changed, or all of them.
    void hostsChanged(const std::vector<StoreRow>& rows, bool isComplete);
    /// Has to be called several times a second.
    void update(Model::Time now) { m_forwarder.update(now); }
    /// New operations of other hosts are no longer wanted.
    void drain() { m_receiver.drain(); }
    bool isEveryReplySent() const { return m_receiver.isEveryReplySent(); }

private:
    Forwarding::ForwarderHooks forwarderHooks();
    Forwarding::ReceiverHooks receiverHooks(std::function<bool()> isConfigured);

    SessionServer::Server& m_server;
    Forwarding::Forwarder m_forwarder;
    Forwarding::Receiver m_receiver;
    std::string m_address;
    /// Hosts that execute statements of others, by name.
    std::map<std::string, HostRow> m_hosts;
};

}
