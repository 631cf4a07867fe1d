#pragma once

#include "core/placement/linkhealth.h"
#include "core/placement/poolhosts.h"
#include "core/proxy/forwardedstatement.h"
#include "forwarding/messages.h"
#include "forwarding/messagestream.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace EventLoop {
class Loop;
}

namespace Forwarding {

/// A host that executes statements for others, as its row in the store describes it.
struct PoolHost {
    Placement::HostCapacity capacity;
    /// IP:PORT for forwarded statements.
    std::string address;
};

/// Callbacks of a forwarder.
struct ForwarderHooks {
    std::function<void(StatementReply)> answered;
    std::function<void(const Decline&)> declined;
    std::function<void(Proxy::ForwardLinkId)> linkLost;
};

/// Sends statements of this host's sessions to the pool hosts of their services. Keeps a connection to the
/// preferred hosts of each service in use. Used on the loop's thread.
class Forwarder {
public:
    Forwarder(EventLoop::Loop& loop, std::string self, std::string zone, ForwarderHooks hooks);
    ~Forwarder();

    /// Sets all hosts of the fleet, this one included.
    void setHosts(const std::vector<PoolHost>& hosts);
    /// Returns the link to the service's pool host; 0 if this host is the pool host, or none is usable.
    Proxy::ForwardLinkId chooseLink(const std::string& service, Model::Time now);
    /// Returns false if the link was lost before, so that the statement was certainly not sent.
    bool forward(Proxy::ForwardLinkId link, const Proxy::ForwardedStatement& statement);
    /// Whether the pool host has not responded for so long that reads should be tried elsewhere.
    bool isSuspect(Proxy::ForwardLinkId link, Model::Time now);
    /// Lets the pool host roll back the session's transaction.
    void end(Proxy::ForwardLinkId link, Proxy::SessionId session);
    /// The number of hosts that share the connections of the service's upstreams; 0 if this host is none of
    /// them now.
    int poolHostCount(const std::string& service, Model::Time now) const;
    /// Pings, opens and closes connections. Has to be called several times a second.
    void update(Model::Time now);
    /// What has arrived during a pause of the process is not read yet.
    void processPaused(Model::Time now);

private:
    struct Link {
        Placement::LinkHealth health;
        /// Changes with each connection.
        Proxy::ForwardLinkId id = 0;
        std::unique_ptr<MessageStream> stream;
        /// The services of sessions whose statement has not been answered.
        std::unordered_map<Proxy::SessionId, std::string> outstanding;
        /// Until when statements of a service are sent elsewhere.
        std::map<std::string, Model::Time> declinedUntil;
    };

    void connect(const std::string& host, Link& link, Model::Time now);
    void receive(Proxy::ForwardLinkId id, std::string_view bytes);
    void lose(const std::string& host, std::string_view reason, Model::Time now);
    void updateLink(const std::string& host, Link& link, Model::Time now);
    std::set<std::string> preferredHosts() const;
    Link* findLink(Proxy::ForwardLinkId id);
    static bool isUsable(const Link& link, const std::string& service, Model::Time now);

    EventLoop::Loop& m_loop;
    std::string m_self;
    Placement::PoolHosts m_poolHosts;
    ForwarderHooks m_hooks;
    std::map<std::string, std::string> m_addresses;
    std::map<std::string, Link> m_links;
    std::unordered_map<Proxy::ForwardLinkId, std::string> m_hostsByLink;
    /// Services whose statements were forwarded, or would have been.
    std::set<std::string> m_services;
    Proxy::ForwardLinkId m_lastLink = 0;
    std::optional<Model::Time> m_updatedAt;
};

}
