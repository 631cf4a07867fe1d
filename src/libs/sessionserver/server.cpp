#include "sessionserver/server.h"

#include "logging/log.h"
#include "logging/span.h"
#include "metrics/registry.h"
#include "sessionserver/tracelog.h"

#include <utility>

namespace SessionServer {

namespace {

    /// A caller that does not read its answers is disconnected when more than this waits to be sent.
    constexpr std::size_t maxUnsentBytes = 4UL * 1024 * 1024;
    /// A timer that fires later than this shows that the process was paused or got no CPU time.
    constexpr Model::Duration pauseThreshold = std::chrono::milliseconds(250);
    /// The timer is restarted only if the next tick is earlier than the planned one by more than this.
    constexpr Model::Duration tickSlack = std::chrono::milliseconds(1);

    /// Memory that a row occupies besides its content: its place in the list and in the answer.
    constexpr std::size_t rowOverhead = 2 * sizeof(std::string) + 16;

    /// Returns at least the size of the encoded answer.
    std::size_t encodedBytes(const Proxy::Reply& answer)
    {
        constexpr std::size_t fixedParts = 128;
        std::size_t result = answer.text.size() + fixedParts;
        for (const std::string& row : answer.rows)
            result += row.size() + rowOverhead;
        return result;
    }

}

Server::Server(EventLoop::Loop& loop, const Directory::View& view, Codec codec, Metrics::Registry& metrics,
    ServerSettings settings, ServerHooks hooks)
    : m_loop(loop)
    , m_codec(std::move(codec))
    , m_metrics(metrics)
    , m_settings(std::move(settings))
    , m_hooks(std::move(hooks))
    , m_listener(std::make_unique<EventLoop::TcpListener>(
          loop, [this](std::unique_ptr<EventLoop::TcpStream> stream) { accept(std::move(stream)); }))
    , m_timer(loop, [this] { tick(); })
    , m_budget(m_settings.limits.memoryBytes)
    , m_statements(metrics.counter("parsleytack_statements_received_total"))
    , m_forwardedStatements(metrics.counter("parsleytack_statements_executed_for_others_total"))
    , m_connectionsOpened(metrics.counter("parsleytack_upstream_connections_opened_total"))
    , m_sessions(metrics.gauge("parsleytack_sessions"))
    , m_latency(metrics.histogram("parsleytack_statement_microseconds"))
    , m_limitLog(metrics)
    , m_clientMemory(metrics.gauge("parsleytack_client_memory_bytes"))
    , m_engine(view, m_settings.zone, engineHooks(), m_settings.engine)
{
    if (m_settings.engine.schedulesStatements)
        m_schedulingMetrics.emplace(metrics);
}

Server::~Server() = default;

std::optional<std::string> Server::listen()
{
    scheduleTick();
    return m_listener->listen(m_settings.ip, m_settings.port);
}

Proxy::EngineHooks Server::engineHooks()
{
    Proxy::EngineHooks result;
    result.reply = [this](Proxy::SessionId id, const Proxy::Reply& answer) { reply(id, answer); };
    result.rejectSession = [this](Proxy::SessionId id, Proxy::ResultCode code, std::string_view text) {
        reject(id, code, text);
    };
    result.closeSession = [this](Proxy::SessionId id) { closeCaller(id); };
    result.connect = [this](Proxy::ConnectionId id, const Directory::Upstream& upstream,
                         const std::string& customer) { connect(id, upstream, customer); };
    result.send
        = [this](Proxy::ConnectionId id, std::span<const Proxy::Command> commands) { send(id, commands); };
    result.disconnect = [this](Proxy::ConnectionId id) { m_upstreams.erase(id); };
    result.valuesRefused = [this](Proxy::SessionId id, std::size_t bytes) {
        m_limitLog.reached(ClientLimit::SessionValues, id, bytes, EventLoop::now());
    };
    result.admit = m_hooks.admit;
    result.admitAgain = m_hooks.admitAgain;
    result.demanded = m_hooks.demanded;
    result.admissionWait = m_hooks.admissionWait;
    result.explainLimit = m_hooks.explainLimit;
    result.mayUsePrimaries = m_hooks.mayUsePrimaries;
    result.chooseLink = m_hooks.chooseLink;
    result.forward = m_hooks.forward;
    result.endForwarded = m_hooks.endForwarded;
    result.isLinkSuspect = m_hooks.isLinkSuspect;
    result.declineForwarded = m_hooks.declineForwarded;
    result.poolHostCount = m_hooks.poolHostCount;
    result.operationRan = m_hooks.operationRan;
    result.decided = [this](const Proxy::Decision& decision) {
        countDecision(decision.kind);
        m_decisionLog.write(decision, EventLoop::now());
    };
    result.isNextTraced = [] { return Logging::isNextTraceSampled(); };
    result.answered = [this](const Proxy::Session& session, Proxy::ResultCode code, Model::Duration elapsed) {
        countAnswer(session, code, elapsed);
        writeTrace(session, code, elapsed);
    };
    return result;
}

void Server::accept(std::unique_ptr<EventLoop::TcpStream> stream)
{
    if (m_callers.size() >= m_settings.maxSessions) {
        m_limitLog.reached(ClientLimit::Sessions, 0, 0, EventLoop::now());
        return;
    }
    const Proxy::SessionId id = ++m_lastSession;
    EventLoop::StreamHooks hooks;
    hooks.received = [this, id](std::string_view data) { receiveData(id, data); };
    hooks.sent = [this, id] { settleCaller(id); };
    hooks.closed = [this, id] {
        callerClosed(id);
        scheduleTick();
    };
    stream->setHooks(std::move(hooks));
    Caller caller { std::move(stream), LineSplitter(m_codec.maxLine), MemoryCharge(m_budget) };
    caller.messageSince = EventLoop::now();
    m_callers.emplace(id, std::move(caller));
}

void Server::receiveData(Proxy::SessionId id, std::string_view data)
{
    const auto caller = m_callers.find(id);
    if (caller == m_callers.end())
        return;
    MessageProgress progress = MessageProgress::Begun;
    const bool isValid = caller->second.splitter.feed(data, [this, id, &progress](std::string_view line) {
        progress = MessageProgress::Completed;
        return receive(id, line);
    });
    if (!isValid) {
        disconnectCaller(id, ClientLimit::MessageLength, caller->second.charge.bytes());
    } else if (m_callers.contains(id)) {
        noteMessageBegin(m_callers.at(id), progress);
        settleCaller(id);
    }
    enforceBudget();
    scheduleTick();
}

/// Returns whether the caller is still connected.
bool Server::receive(Proxy::SessionId id, std::string_view line)
{
    const Model::Time now = EventLoop::now();
    CallerMessage message = m_codec.parseCaller(line);
    Caller& caller = m_callers.at(id);
    if (message.kind == CallerMessageKind::Open && !caller.isOpen) {
        caller.isOpen = true;
        m_engine.openSession(id, std::move(message.database), std::move(message.key), now);
    } else if (message.kind == CallerMessageKind::Statement && caller.isOpen) {
        m_statements.add();
        m_engine.handle(id, std::move(message.statement), now);
        if (!m_callers.contains(id) && !m_isShuttingDown)
            m_limitLog.reached(ClientLimit::PipelinedStatements, id, 0, now);
    } else {
        callerClosed(id);
    }
    return m_callers.contains(id);
}

void Server::callerClosed(Proxy::SessionId id)
{
    m_callers.erase(id);
    m_engine.sessionClosed(id, EventLoop::now());
}

void Server::closeCaller(Proxy::SessionId id)
{
    if (m_hooks.closeForwarded && m_hooks.closeForwarded(id))
        return;
    const auto caller = m_callers.find(id);
    if (caller == m_callers.end())
        return;
    if (m_isShuttingDown && caller->second.stream->unsentBytes() > 0)
        m_closing.insert(id);
    else
        m_callers.erase(caller);
}

void Server::reply(Proxy::SessionId id, const Proxy::Reply& answer)
{
    if (m_hooks.replyForwarded && m_hooks.replyForwarded(id, answer))
        return;
    const auto caller = m_callers.find(id);
    if (caller == m_callers.end())
        return;
    m_buffer.clear();
    m_buffer.reserve(encodedBytes(answer));
    if (!caller->second.isGreeted)
        m_codec.encodeGreeting(m_buffer, answer);
    else
        m_codec.encodeReply(m_buffer, answer);
    caller->second.isGreeted = true;
    sendBuffer(*caller->second.stream);
    settleCaller(id);
    if (caller->second.stream->unsentBytes() > maxUnsentBytes) {
        m_limitLog.reached(ClientLimit::UnreadAnswers, id, caller->second.charge.bytes(), EventLoop::now());
        m_loop.post([this, id] { callerClosed(id); });
    }
}

void Server::reject(Proxy::SessionId id, Proxy::ResultCode code, std::string_view text)
{
    const auto caller = m_callers.find(id);
    if (caller == m_callers.end())
        return;
    m_buffer.clear();
    m_codec.encodeRejection(m_buffer, code, text);
    caller->second.stream->write(m_buffer);
    m_callers.erase(caller);
}

void Server::connect(Proxy::ConnectionId id, const Directory::Upstream& upstream, const std::string& customer)
{
    m_connectionsOpened.add();
    UpstreamConnection connection { nullptr, LineSplitter(m_codec.maxLine), MemoryCharge(m_budget) };
    m_codec.encodeOpen(connection.openMessage, upstream, customer);
    EventLoop::StreamHooks hooks;
    hooks.connected = [this, id] {
        UpstreamConnection& open = m_upstreams.at(id);
        open.stream->write(open.openMessage);
    };
    hooks.received = [this, id](std::string_view data) { receiveUpstreamData(id, data); };
    hooks.sent = [this, id] { settleUpstream(id); };
    hooks.closed = [this, id] {
        upstreamClosed(id);
        scheduleTick();
    };
    connection.stream = EventLoop::TcpStream::connect(m_loop, upstream.address, std::move(hooks));
    m_upstreams.emplace(id, std::move(connection));
}

void Server::receiveUpstreamData(Proxy::ConnectionId id, std::string_view data)
{
    const auto open = m_upstreams.find(id);
    if (open == m_upstreams.end())
        return;
    const bool isValid = open->second.splitter.feed(
        data, [this, id](std::string_view line) { return receiveFromUpstream(id, line); });
    if (!isValid)
        upstreamClosed(id);
    settleUpstream(id);
    const auto left = m_upstreams.find(id);
    if (left != m_upstreams.end() && left->second.charge.bytes() > m_budget.limitOfClient())
        closeUpstream(id, ClientLimit::ClientMemory);
    enforceBudget();
    scheduleTick();
}

/// Returns whether the connection still exists.
bool Server::receiveFromUpstream(Proxy::ConnectionId id, std::string_view line)
{
    const Model::Time now = EventLoop::now();
    UpstreamMessage message = m_codec.parseUpstream(line);
    UpstreamConnection& connection = m_upstreams.at(id);
    switch (message.kind) {
    case UpstreamMessageKind::Row:
        // The first row is kept in any case: it answers a command of the proxy itself.
        if (connection.reply.rows.empty() || isAnswerExpected(id)) {
            connection.replyBytes += message.text.size() + rowOverhead;
            connection.reply.rows.push_back(std::move(message.text));
        }
        break;
    case UpstreamMessageKind::Complete:
        connection.reply.text = std::move(message.text);
        break;
    case UpstreamMessageKind::Error:
        if (!connection.isOpen) {
            m_upstreams.erase(id);
            m_engine.connectionRefused(id, message.code, now);
            return false;
        }
        connection.reply.rows.clear();
        connection.replyBytes = 0;
        connection.reply.code = message.code;
        connection.reply.text = std::move(message.text);
        break;
    case UpstreamMessageKind::Ready: {
        Proxy::Reply reply = std::exchange(connection.reply, {});
        connection.replyBytes = 0;
        reply.state = message.state;
        reply.position = message.position;
        if (std::exchange(connection.isOpen, true))
            m_engine.connectionReply(id, reply, now);
        else
            m_engine.connectionOpened(id, reply.position, now);
        break;
    }
    case UpstreamMessageKind::Invalid:
        upstreamClosed(id);
        break;
    }
    return m_upstreams.contains(id);
}

void Server::upstreamClosed(Proxy::ConnectionId id)
{
    m_upstreams.erase(id);
    m_engine.connectionLost(id, EventLoop::now());
}

void Server::send(Proxy::ConnectionId id, std::span<const Proxy::Command> commands)
{
    const auto connection = m_upstreams.find(id);
    if (connection == m_upstreams.end())
        return;
    m_buffer.clear();
    for (const Proxy::Command& command : commands)
        m_codec.encodeCommand(m_buffer, command);
    sendBuffer(*connection->second.stream);
    settleUpstream(id);
}

void Server::directoryChanged()
{
    m_engine.directoryChanged(EventLoop::now());
    scheduleTick();
}

void Server::endDisallowedUses()
{
    m_engine.endDisallowedUses(EventLoop::now());
    scheduleTick();
}

/// Passes on the status in a reply.
Proxy::Engine::AnswerHook Server::decodeStatus(StatusHook answered) const
{
    return [this, answered = std::move(answered)](const std::optional<Proxy::Reply>& reply) {
        if (!reply || reply->code != Proxy::ResultCode::Complete || reply->rows.empty())
            return answered(std::nullopt);
        answered(m_codec.parseStatus(reply->rows.front()));
    };
}

void Server::sendCommand(const std::string& upstream, const Proxy::Command& command, StatusHook answered)
{
    m_engine.command(upstream, command, decodeStatus(std::move(answered)), EventLoop::now());
    scheduleTick();
}

void Server::probeIfUnresponsive(const std::string& upstream, StatusHook answered)
{
    m_engine.probeIfUnresponsive(upstream, decodeStatus(std::move(answered)), EventLoop::now());
}

void Server::handleForwarded(Proxy::SessionId id, Proxy::ForwardedStatement statement)
{
    m_engine.handleForwarded(id, std::move(statement), EventLoop::now());
    scheduleTick();
}

void Server::endForwardedSession(Proxy::SessionId id)
{
    m_engine.sessionClosed(id, EventLoop::now());
    scheduleTick();
}

void Server::forwardAnswered(Proxy::SessionId id, std::uint64_t sequence, Proxy::Reply reply)
{
    m_engine.forwardAnswered(id, sequence, std::move(reply), EventLoop::now());
    scheduleTick();
}

void Server::forwardDeclined(Proxy::SessionId id, std::uint64_t sequence)
{
    m_engine.forwardDeclined(id, sequence, EventLoop::now());
    scheduleTick();
}

void Server::forwardLinkLost(Proxy::ForwardLinkId link)
{
    m_engine.forwardLinkLost(link, EventLoop::now());
    scheduleTick();
}

void Server::closeIdleSessions()
{
    m_isShuttingDown = true;
    m_engine.closeIdleSessions();
    for (const Proxy::SessionId id : std::exchange(m_closing, {}))
        closeCaller(id);
}

void Server::limitDeadlines(Model::Time latest)
{
    m_engine.limitDeadlines(latest);
    scheduleTick();
}

void Server::endTransactions()
{
    m_engine.endTransactions(EventLoop::now());
    scheduleTick();
}

void Server::tick()
{
    const Model::Time now = EventLoop::now();
    if (m_tickAt && now - *m_tickAt > pauseThreshold) {
        Logging::write(Logging::EventId::LoopStalled,
            { { "lateMs",
                std::to_string(
                    std::chrono::duration_cast<std::chrono::milliseconds>(now - *m_tickAt).count()) } });
        m_engine.processPaused(now);
        if (m_hooks.processPaused)
            m_hooks.processPaused(now);
    }
    m_tickAt.reset();
    m_sessions.set(static_cast<std::int64_t>(m_engine.sessionCount()));
    m_engine.tick(now);
    if (m_schedulingMetrics)
        m_schedulingMetrics->update(m_engine.schedulingStats());
    checkMessageTimes(now);
    m_clientMemory.set(static_cast<std::int64_t>(m_budget.used()));
    enforceBudget();
    scheduleTick();
}

void Server::scheduleTick()
{
    const Model::Time now = EventLoop::now();
    const Model::Time next = m_engine.nextTick(now);
    if (m_tickAt && *m_tickAt <= next + tickSlack)
        return;
    m_tickAt = next;
    m_timer.start(std::max(next - now, Model::Duration(tickSlack)));
}

/// Counts the changes of the division of reads between upstreams. The answers show the other decisions.
void Server::countDecision(Proxy::DecisionKind kind)
{
    const auto count = [this](const char* change) {
        m_metrics.counter("parsleytack_balance_changes_total", "change=\"" + std::string(change) + "\"")
            .add();
    };
    switch (kind) {
    case Proxy::DecisionKind::ZoneLeft:
        return count("zone_left");
    case Proxy::DecisionKind::ZoneReturned:
        return count("zone_returned");
    case Proxy::DecisionKind::UpstreamSetAside:
        return count("set_aside");
    case Proxy::DecisionKind::UpstreamTakenBack:
        return count("taken_back");
    default:
        return;
    }
}

void Server::countAnswer(const Proxy::Session& session, Proxy::ResultCode code, Model::Duration elapsed)
{
    if (session.forwardedRoute) {
        m_forwardedStatements.add();
        return;
    }
    m_latency.record(elapsed);
    Metrics::Counter*& counter = m_answers[{ session.database, code }];
    if (!counter) {
        counter = &m_metrics.counter("parsleytack_answers_total",
            "database=\"" + session.database + "\",result=\"" + std::string(Proxy::resultInfo(code).name)
                + "\"");
    }
    counter->add();
}

}
