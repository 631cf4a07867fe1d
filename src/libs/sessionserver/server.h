#pragma once

#include "core/directory/view.h"
#include "core/proxy/engine.h"
#include "eventloop/loop.h"
#include "eventloop/tcplistener.h"
#include "eventloop/timer.h"
#include "sessionserver/codec.h"
#include "sessionserver/decisionlog.h"
#include "sessionserver/linesplitter.h"

#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace Metrics {
class Counter;
class Histogram;
class Registry;
}

namespace SessionServer {

struct ServerSettings {
    std::string zone;
    std::string ip;
    /// 0 lets the system choose one.
    std::uint16_t port = 0;
    /// Further callers are turned away.
    std::size_t maxSessions = 3200;
};

/// What the server needs from its surroundings.
struct ServerHooks {
    std::function<bool(const Directory::Customer&, Model::Time)> admit;
    /// What `admit` saw of the customer's limit.
    std::function<std::string(const Directory::Customer&)> explainLimit;
};

/// Serves callers: owns the sockets of callers and upstreams round the engine. Used on the loop's thread.
class Server {
public:
    Server(EventLoop::Loop& loop, const Directory::View& view, Codec codec, Metrics::Registry& metrics,
        ServerSettings settings, ServerHooks hooks);
    ~Server();

    /// Returns what went wrong, if anything.
    std::optional<std::string> listen();
    std::uint16_t port() const { return m_listener->port(); }
    /// Callers that connect from now on are refused.
    void stopListening() { m_listener.reset(); }

    /// Configuration, upstreams or zones changed.
    void directoryChanged();
    /// Ends the sessions that are idle.
    void closeIdleSessions();
    /// Rolls the transactions back that wait for their caller.
    void endIdleTransactions();
    /// Sends a message of the proxy itself; `answered` gets nothing if no answer comes.
    void sendCommand(const std::string& upstream, const Proxy::Command& command,
        std::function<void(const std::optional<Failover::UpstreamStatus>&)> answered);
    Proxy::Engine& engine() { return m_engine; }
    const Proxy::Engine& engine() const { return m_engine; }

private:
    struct Caller {
        std::unique_ptr<EventLoop::TcpStream> stream;
        LineSplitter splitter;
        bool isOpen = false;
        bool isGreeted = false;
    };
    struct UpstreamConnection {
        std::unique_ptr<EventLoop::TcpStream> stream;
        LineSplitter splitter;
        /// The answer as far as it has arrived.
        Proxy::Reply reply;
        bool isOpen = false;
        std::string openMessage;
    };

    Proxy::EngineHooks engineHooks(ServerHooks hooks);
    void accept(std::unique_ptr<EventLoop::TcpStream> stream);
    bool receive(Proxy::SessionId id, std::string_view line);
    void callerClosed(Proxy::SessionId id);
    void reply(Proxy::SessionId id, const Proxy::Reply& reply);
    void reject(Proxy::SessionId id, Proxy::ResultCode code, std::string_view text);

    void connect(Proxy::ConnectionId id, const Directory::Upstream& upstream, const std::string& customer);
    bool receiveFromUpstream(Proxy::ConnectionId id, std::string_view line);
    void upstreamClosed(Proxy::ConnectionId id);
    void send(Proxy::ConnectionId id, std::span<const Proxy::Command> commands);

    void countAnswer(const Proxy::Session& session, Proxy::ResultCode code, Model::Duration elapsed);
    void tick();
    void scheduleTick();

    EventLoop::Loop& m_loop;
    Codec m_codec;
    Metrics::Registry& m_metrics;
    ServerSettings m_settings;
    std::unique_ptr<EventLoop::TcpListener> m_listener;
    EventLoop::Timer m_timer;
    std::unordered_map<Proxy::SessionId, Caller> m_callers;
    std::unordered_map<Proxy::ConnectionId, UpstreamConnection> m_upstreams;
    Proxy::SessionId m_lastSession = 0;
    std::optional<Model::Time> m_tickAt;
    Metrics::Counter& m_statements;
    Metrics::Counter& m_connectionsOpened;
    Metrics::Counter& m_sessions;
    Metrics::Histogram& m_latency;
    /// Answers by database and result.
    std::map<std::pair<std::string, Proxy::ResultCode>, Metrics::Counter*> m_answers;
    std::string m_buffer;
    DecisionLog m_decisionLog;
    Proxy::Engine m_engine;
};

}
