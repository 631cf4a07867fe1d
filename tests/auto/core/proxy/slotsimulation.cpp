#include "slotsimulation.h"

using namespace Proxy;
using namespace std::chrono_literals;

namespace {

constexpr int slots = 4;
constexpr Model::Duration latency = 500us;
constexpr Model::Duration openingTime = 12ms;
constexpr int maxRetries = 2;
/// How long a caller waits after a refusal.
constexpr Model::Duration meanRetryPause = 30ms;
/// Callers give an operation up after this many target latencies.
constexpr int deadlineTargets = 8;

}

SlotSimulation::SlotSimulation(std::uint64_t seed, int maxConnections)
    : m_generator(seed)
    , m_maxConnections(maxConnections)
{
    std::uint64_t revision = 0;
    for (const std::string id : { "p", "q", "r" }) {
        Directory::Upstream upstream;
        upstream.id = id;
        upstream.service = "ledger";
        upstream.zone = "north";
        upstream.role = id == "p" ? Directory::Role::Primary : Directory::Role::Replica;
        upstream.slots = slots;
        upstream.revision = ++revision;
        m_view.setUpstream(upstream);
    }
    m_configuration.version = 1;
    m_configuration.services.emplace("ledger", Directory::Service { "ledger", maxConnections });
    EngineSettings settings;
    settings.schedulesStatements = true;
    m_engine = std::make_unique<Engine>(m_view, "north", hooks(), settings);
}

EngineHooks SlotSimulation::hooks()
{
    EngineHooks hooks;
    hooks.reply = [this](SessionId id, const Reply& reply) { replied(id, reply); };
    hooks.rejectSession = [](SessionId, ResultCode, std::string_view) {};
    hooks.closeSession = [](SessionId) {};
    hooks.connect = [this](ConnectionId id, const Directory::Upstream& upstream, const std::string&) {
        m_links[id].upstream = upstream.id;
        at(m_now + latency, [this, id, to = upstream.id] { connect(id, to); });
    };
    hooks.send = [this](ConnectionId id, std::span<const Command> commands) {
        for (const Command& command : commands)
            at(m_now + latency, [this, id, command] { execute(id, command); });
    };
    hooks.disconnect = [this](ConnectionId id) { close(id); };
    hooks.admit = [](const Directory::Customer&, Model::Time) { return true; };
    hooks.explainLimit = [](const Directory::Customer&) { return std::string(); };
    hooks.decided = [this](const Decision& decision) { m_decisions.push_back(decision); };
    hooks.isNextTraced = [] { return false; };
    hooks.answered = [](const Session&, ResultCode, Model::Duration) {};
    return hooks;
}

void SlotSimulation::addRoute(const std::string& name, Directory::RouteKind kind, int priority,
    Model::Duration target, Model::Duration timeout)
{
    Directory::Route route;
    route.name = name;
    route.database = name;
    route.service = "ledger";
    route.kind = kind;
    route.maxStaleness = 1500ms;
    route.statementTimeout = timeout;
    route.targetLatency = target;
    route.priority = priority;
    m_configuration.routes.push_back(route);
}

Model::Duration SlotSimulation::random(Model::Duration mean)
{
    std::exponential_distribution<double> distribution(1.0 / std::max<double>(1, double(mean.count())));
    return Model::Duration(1 + static_cast<std::int64_t>(distribution(m_generator)));
}

void SlotSimulation::add(const Load& load)
{
    m_configuration.customers.emplace(load.customer, Directory::Customer { load.customer, 1e6, 1e6 });
    m_configuration.customerByKey.emplace(load.customer, load.customer);
    const auto mean
        = std::chrono::duration_cast<Model::Duration>(std::chrono::duration<double>(1 / load.perSecond));
    for (Model::Time time = load.from + random(mean); time < load.until; time += random(mean))
        addOperation(load, time);
}

void SlotSimulation::addOperation(const Load& load, Model::Time time)
{
    at(time, [this, load] { arrive(load); });
}

void SlotSimulation::arrive(const Load& load)
{
    std::uniform_real_distribution<double> share(0, 1);
    Operation operation { load, m_now };
    operation.isWrite = share(m_generator) < load.writeShare;
    operation.isTransaction = share(m_generator) < load.transactionShare;
    ++m_outcomes[{ load.route, load.customer }].offered;
    start(std::move(operation));
}

void SlotSimulation::start(Operation operation)
{
    const SessionId id = ++m_lastSession;
    const Load& load = operation.load;
    const std::string route = load.route;
    const std::string key = load.customer;
    ++operation.attempts;
    operation.replies = 0;
    m_operations.emplace(id, std::move(operation));
    m_engine->openSession(id, route, key, m_now);
}

// Replies are handled after the engine's call has returned, as by a caller at the other end of a connection.
void SlotSimulation::replied(SessionId id, const Reply& reply)
{
    at(m_now, [this, id, reply] { advance(id, reply); });
}

void SlotSimulation::advance(SessionId id, const Reply& reply)
{
    Operation& operation = m_operations.at(id);
    ++operation.replies;
    // A single statement has two replies, with the one for the session; a transaction four.
    const int last = operation.isTransaction ? 4 : 2;
    if (reply.code != ResultCode::Complete || operation.replies == last)
        return end(id, reply);
    if (operation.replies == 3)
        at(m_now + operation.load.thinkTime, [this, id] { sendNext(id); });
    else
        sendNext(id);
}

void SlotSimulation::sendNext(SessionId id)
{
    const Operation& operation = m_operations.at(id);
    Statement statement;
    statement.id = "s" + std::to_string(id);
    statement.argument = std::to_string(operation.load.meanTime.count());
    statement.kind = operation.isWrite ? StatementKind::Write : StatementKind::Read;
    if (operation.isTransaction && operation.replies == 1)
        statement.kind = operation.isWrite || operation.load.writeShare > 0 ? StatementKind::Begin
                                                                            : StatementKind::BeginReadOnly;
    if (operation.replies == 3)
        statement.kind = StatementKind::Commit;
    m_engine->handle(id, std::move(statement), m_now);
}

void SlotSimulation::end(SessionId id, const Reply& reply)
{
    Operation operation = m_operations.at(id);
    m_operations.erase(id);
    m_engine->sessionClosed(id, m_now);
    const Directory::Route* route = m_configuration.findRoute(operation.load.route);
    const Model::Duration elapsed = m_now - operation.startedAt;
    Outcome& outcome = m_outcomes[{ operation.load.route, operation.load.customer }];
    const Model::Duration own = operation.isTransaction ? operation.load.thinkTime : Model::Duration {};
    if (reply.code == ResultCode::Complete) {
        ++(elapsed - own <= route->targetLatency ? outcome.onTime : outcome.late);
        return;
    }
    m_lastError = reply.text;
    if (operation.attempts > maxRetries || elapsed > route->targetLatency * deadlineTargets) {
        ++outcome.failed;
        return;
    }
    at(m_now + random(meanRetryPause), [this, operation] { start(operation); });
}

bool SlotSimulation::takeSlot(ConnectionId id)
{
    Upstream& upstream = m_upstreams[m_links.at(id).upstream];
    if (upstream.used + m_foreignSlots >= slots) {
        ++m_busyAnswers;
        return false;
    }
    ++upstream.used;
    m_links.at(id).isInSlot = true;
    return true;
}

void SlotSimulation::leaveSlot(ConnectionId id)
{
    if (std::exchange(m_links.at(id).isInSlot, false))
        --m_upstreams[m_links.at(id).upstream].used;
}

void SlotSimulation::close(ConnectionId id)
{
    Link& link = m_links.at(id);
    if (link.isClosed)
        return;
    link.isClosed = true;
    --m_upstreams[link.upstream].connections;
    leaveSlot(id);
}

void SlotSimulation::connect(ConnectionId id, const std::string& upstream)
{
    const bool isFull = m_upstreams[upstream].connections >= m_maxConnections;
    ++m_upstreams[upstream].connections;
    if (m_links.at(id).isClosed)
        return;
    if (isFull || !takeSlot(id)) {
        close(id);
        at(m_now + latency, [this, id, isFull] {
            m_engine->connectionRefused(id, isFull ? ResultCode::ConnectionLimit : ResultCode::Busy, m_now);
        });
        return;
    }
    ++m_opened;
    at(m_now + openingTime, [this, id] {
        leaveSlot(id);
        at(m_now + latency, [this, id] { m_engine->connectionOpened(id, { 1, m_position }, m_now); });
    });
}

void SlotSimulation::execute(ConnectionId id, const Command& command)
{
    Link& link = m_links.at(id);
    if (link.isClosed)
        return;
    // Messages of a connection run one after the other.
    if (link.freeAt > m_now)
        return at(link.freeAt, [this, id, command] { execute(id, command); });
    const auto answer = [this, id](ResultCode code) {
        Reply reply;
        reply.code = code;
        reply.text = "receipt";
        reply.state = m_links.at(id).isInTransaction ? TransactionState::Open : TransactionState::None;
        reply.position = { 1, m_position };
        at(m_now + latency, [this, id, reply] { m_engine->connectionReply(id, reply, m_now); });
    };
    if (command.kind != CommandKind::Statement) {
        if (command.kind == CommandKind::Begin || command.kind == CommandKind::BeginReadOnly)
            link.isInTransaction = true;
        if (command.kind == CommandKind::Rollback)
            link.isInTransaction = false;
        return answer(ResultCode::Complete);
    }
    if (!takeSlot(id))
        return answer(ResultCode::Busy);
    const bool isCommit = command.statement.kind == StatementKind::Commit;
    const Model::Duration mean = isCommit ? 1ms : Model::Duration(std::stoll(command.statement.argument));
    const Model::Duration time = random(mean);
    link.freeAt = m_now + time;
    if (isCommit)
        link.isInTransaction = false;
    if (command.statement.kind == StatementKind::Write)
        ++m_position;
    // Before the next message of the connection, which is due at the same time.
    at(link.freeAt, [this, id, answer] {
        leaveSlot(id);
        ++m_completedStatements;
        answer(ResultCode::Complete);
    });
}

void SlotSimulation::run(Model::Time until)
{
    m_view.adopt(std::make_shared<Directory::Configuration>(m_configuration));
    m_engine->directoryChanged(m_now);
    while (m_now < until) {
        const Model::Time tick = std::max(m_engine->nextTick(m_now), m_now + 100us);
        if (m_events.empty() || m_events.begin()->first > tick) {
            m_now = tick;
            m_engine->tick(m_now);
            continue;
        }
        auto event = m_events.extract(m_events.begin());
        m_now = std::max(m_now, event.key());
        event.mapped()();
    }
}

SlotSimulation::Outcome SlotSimulation::total(const std::string& route) const
{
    return sum([&](const auto& key) { return key.first == route; });
}

SlotSimulation::Outcome SlotSimulation::ofCustomer(const std::string& customer) const
{
    return sum([&](const auto& key) { return key.second == customer; });
}

SlotSimulation::Outcome SlotSimulation::sum(const std::function<bool(const OutcomeKey&)>& matches) const
{
    Outcome result;
    for (const auto& [key, outcome] : m_outcomes) {
        if (!matches(key))
            continue;
        result.offered += outcome.offered;
        result.onTime += outcome.onTime;
        result.late += outcome.late;
        result.failed += outcome.failed;
    }
    return result;
}
