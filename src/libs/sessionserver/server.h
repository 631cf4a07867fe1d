#pragma once

#include "core/directory/view.h"
#include "core/proxy/engine.h"
#include "eventloop/loop.h"
#include "eventloop/tcplistener.h"
#include "eventloop/timer.h"
#include "sessionserver/clientlimits.h"
#include "sessionserver/codec.h"
#include "sessionserver/decisionlog.h"
#include "sessionserver/linesplitter.h"
#include "sessionserver/memorybudget.h"
#include "sessionserver/schedulingmetrics.h"

#include <memory>
#include <optional>
#include <set>
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
    /// 0 lets the operating system choose a free port.
    std::uint16_t port = 0;
    /// Connections of further callers are closed at once.
    std::size_t maxSessions = 3200;
    Proxy::EngineSettings engine;
    ClientLimits limits;
};

/// Callbacks that the owner of the server supplies.
struct ServerHooks {
    /// Returns whether the customer's rate limit admits another operation now, and charges it if so.
    std::function<bool(const Directory::Customer&, Model::Time)> admit;
    /// Hooks for operations that wait for their admission; see `Proxy::EngineHooks`. Empty if none do.
    std::function<bool(const Directory::Customer&, Model::Time)> admitAgain;
    std::function<void(const Directory::Customer&, Model::Time)> demanded;
    std::function<std::optional<Model::Duration>(const Directory::Customer&, std::size_t ahead, Model::Time)>
        admissionWait;
    /// The figures on which the last decision of `admit` for the customer was based, for logs.
    std::function<std::string(const Directory::Customer&)> explainLimit;
    /// Whether this host may use primaries now; empty if it always may.
    std::function<bool(Model::Time)> mayUsePrimaries;
    /// The hooks of the engine for statements that other hosts execute; empty if none do.
    std::function<Proxy::ForwardLinkId(const std::string& service, Model::Time)> chooseLink;
    std::function<bool(Proxy::ForwardLinkId, const Proxy::ForwardedStatement&)> forward;
    std::function<void(Proxy::ForwardLinkId, Proxy::SessionId)> endForwarded;
    std::function<bool(Proxy::ForwardLinkId, Model::Time)> isLinkSuspect;
    std::function<void(Proxy::SessionId)> declineForwarded;
    std::function<int(const std::string& service)> poolHostCount;
    /// Takes the replies to sessions of other hosts' callers, and learns that the engine has closed one.
    /// Returns false if the session is one of this host's callers.
    std::function<bool(Proxy::SessionId, const Proxy::Reply&)> replyForwarded;
    std::function<bool(Proxy::SessionId)> closeForwarded;
    /// The process was paused; what has arrived meanwhile is not read yet.
    std::function<void(Model::Time)> processPaused;
    /// An upstream began to run a statement of the customer; empty if usage is not counted.
    std::function<void(const std::string& customer, Model::Time sentAt)> operationRan;
};

/// Serves callers: owns the sockets of callers and upstreams and connects them to the engine. Used on the
/// loop's thread.
class Server {
public:
    Server(EventLoop::Loop& loop, const Directory::View& view, Codec codec, Metrics::Registry& metrics,
        ServerSettings settings, ServerHooks hooks);
    ~Server();

    /// Returns an error message if the address cannot be listened on.
    std::optional<std::string> listen();
    std::uint16_t port() const { return m_listener->port(); }
    /// Connections of further callers are refused.
    void stopListening() { m_listener.reset(); }

    /// Has to be called after a change of the configuration, the upstreams or the zones.
    void directoryChanged();
    /// Ends the use of upstreams that this host may no longer use as primaries.
    void endDisallowedUses();
    /// Closes the sessions that have neither an open transaction nor a pending request, and from now on each
    /// other one as soon as that is true of it. A connection is closed once the caller has taken all answers,
    /// which is checked only here: has to be called again until `isEveryAnswerSent`.
    void closeIdleSessions();
    bool isEveryAnswerSent() const { return m_closing.empty(); }
    /// For a shutdown; see the functions of `Proxy::Engine`.
    void limitDeadlines(Model::Time latest);
    void endTransactions();
    /// Sends a command of the proxy itself to an upstream. `answered` gets `nullopt` if no answer arrives, or
    /// if it is an error or malformed.
    using StatusHook = std::function<void(const std::optional<Failover::UpstreamStatus>&)>;
    void sendCommand(const std::string& upstream, const Proxy::Command& command, StatusHook answered);
    /// Requests the status of the upstream if it has left requests unanswered for a while.
    void probeIfUnresponsive(const std::string& upstream, StatusHook answered);
    /// Executes a statement of another host's session; see `Proxy::Engine::handleForwarded`.
    void handleForwarded(Proxy::SessionId id, Proxy::ForwardedStatement statement);
    /// The other host has ended the session, or is gone.
    void endForwardedSession(Proxy::SessionId id);
    /// The answers of pool hosts; see the functions of `Proxy::Engine`.
    void forwardAnswered(Proxy::SessionId id, std::uint64_t sequence, Proxy::Reply reply);
    void forwardDeclined(Proxy::SessionId id, std::uint64_t sequence);
    void forwardLinkLost(Proxy::ForwardLinkId link);
    Proxy::Engine& engine() { return m_engine; }
    const Proxy::Engine& engine() const { return m_engine; }

private:
    struct Caller {
        std::unique_ptr<EventLoop::TcpStream> stream;
        LineSplitter splitter;
        MemoryCharge charge;
        /// When the message began whose rest has not arrived. Before the session is requested, the time of
        /// the connection; empty if no message has begun.
        std::optional<Model::Time> messageSince;
        /// Its data is not read at present.
        bool isPaused = false;
        /// The caller has requested a session.
        bool isOpen = false;
        /// The session was accepted.
        bool isGreeted = false;
    };
    struct UpstreamConnection {
        std::unique_ptr<EventLoop::TcpStream> stream;
        LineSplitter splitter;
        MemoryCharge charge;
        /// The part of the current answer that has arrived.
        Proxy::Reply reply {};
        /// Memory that its rows occupy.
        std::size_t replyBytes = 0;
        /// The upstream has accepted the connection.
        bool isOpen = false;
        /// Sent first on the connection.
        std::string openMessage {};
    };
    enum class MessageProgress : std::uint8_t { Begun, Completed };

    Proxy::EngineHooks engineHooks();
    void accept(std::unique_ptr<EventLoop::TcpStream> stream);
    bool receive(Proxy::SessionId id, std::string_view line);
    void callerClosed(Proxy::SessionId id);
    void closeCaller(Proxy::SessionId id);
    void reply(Proxy::SessionId id, const Proxy::Reply& reply);
    void reject(Proxy::SessionId id, Proxy::ResultCode code, std::string_view text);

    void connect(Proxy::ConnectionId id, const Directory::Upstream& upstream, const std::string& customer);
    bool receiveFromUpstream(Proxy::ConnectionId id, std::string_view line);
    void upstreamClosed(Proxy::ConnectionId id);
    void send(Proxy::ConnectionId id, std::span<const Proxy::Command> commands);

    Proxy::Engine::AnswerHook decodeStatus(StatusHook answered) const;

    void countDecision(Proxy::DecisionKind kind);
    void settleCaller(Proxy::SessionId id);
    void settleUpstream(Proxy::ConnectionId id);
    static void noteMessageBegin(Caller& caller, MessageProgress progress);
    void enforceBudget();
    void disconnectCaller(Proxy::SessionId id, ClientLimit limit, std::size_t bytes);
    void closeUpstream(Proxy::ConnectionId id, ClientLimit limit);
    bool isAnswerExpected(Proxy::ConnectionId id) const;
    void checkMessageTimes(Model::Time now);
    void sendBuffer(EventLoop::TcpStream& stream);
    void receiveData(Proxy::SessionId id, std::string_view data);
    void receiveUpstreamData(Proxy::ConnectionId id, std::string_view data);

    void countAnswer(const Proxy::Session& session, Proxy::ResultCode code, Model::Duration elapsed);
    void tick();
    void scheduleTick();

    EventLoop::Loop& m_loop;
    Codec m_codec;
    Metrics::Registry& m_metrics;
    ServerSettings m_settings;
    ServerHooks m_hooks;
    std::unique_ptr<EventLoop::TcpListener> m_listener;
    EventLoop::Timer m_timer;
    /// The charges of callers and upstreams refer to it.
    MemoryBudget m_budget;
    std::unordered_map<Proxy::SessionId, Caller> m_callers;
    std::unordered_map<Proxy::ConnectionId, UpstreamConnection> m_upstreams;
    /// Callers whose sessions have ended with a part of their answers still to be sent.
    std::set<Proxy::SessionId> m_closing;
    bool m_isShuttingDown = false;
    Proxy::SessionId m_lastSession = 0;
    /// When the timer is due; empty if it is not running.
    std::optional<Model::Time> m_tickAt;
    Metrics::Counter& m_statements;
    /// Statements executed for other hosts.
    Metrics::Counter& m_forwardedStatements;
    Metrics::Counter& m_connectionsOpened;
    Metrics::Counter& m_sessions;
    Metrics::Histogram& m_latency;
    /// Answers by database and result.
    std::map<std::pair<std::string, Proxy::ResultCode>, Metrics::Counter*> m_answers;
    std::string m_buffer;
    DecisionLog m_decisionLog;
    /// Empty if statements are not scheduled.
    std::optional<SchedulingMetrics> m_schedulingMetrics;
    ClientLimitLog m_limitLog;
    Model::Time m_nextMessageCheck;
    Metrics::Counter& m_clientMemory;
    Proxy::Engine m_engine;
};

}
