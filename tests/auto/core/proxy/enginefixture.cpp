#include "enginefixture.h"

using namespace Proxy;

namespace {

Directory::Route route(const std::string& database, Directory::RouteKind kind)
{
    Directory::Route result;
    result.name = database;
    result.database = database;
    result.service = "ledger";
    result.kind = kind;
    result.maxStaleness = std::chrono::seconds(1);
    result.statementTimeout = std::chrono::milliseconds(800);
    result.targetLatency = std::chrono::milliseconds(200);
    return result;
}

Directory::Configuration defaultConfiguration()
{
    Directory::Configuration result;
    result.routes = { route("strict", Directory::RouteKind::Primary),
        route("bounded", Directory::RouteKind::Bounded), route("own", Directory::RouteKind::OwnWrites) };
    result.services.emplace("ledger", Directory::Service { "ledger", 16 });
    result.customers.emplace("acme", Directory::Customer { "acme", 100, 100 });
    result.customers.emplace("bolt", Directory::Customer { "bolt", 100, 100 });
    result.customerByKey = { { "key-acme", "acme" }, { "key-bolt", "bolt" } };
    return result;
}

}

EngineFixture::EngineFixture(EngineSettings settings)
{
    setUpstream("p", Directory::Role::Primary);
    setUpstream("q", Directory::Role::Replica);
    setUpstream("r", Directory::Role::Replica);
    createEngine(settings);
}

void EngineFixture::createEngine(EngineSettings settings)
{
    EngineHooks hooks;
    hooks.reply = [this](SessionId id, const Reply& reply) { m_replies[id].push_back(reply); };
    hooks.rejectSession
        = [this](SessionId id, ResultCode code, std::string_view) { m_rejections[id] = code; };
    hooks.closeSession = [this](SessionId id) { m_closedSessions.insert(id); };
    hooks.connect
        = [this](ConnectionId id, const Directory::Upstream& upstream, const std::string& customer) {
              m_links[id] = { upstream.id, customer, {}, false };
              m_opening.push_back(id);
          };
    hooks.send = [this](ConnectionId id, std::span<const Command> commands) {
        Link& link = m_links.at(id);
        link.commands.insert(link.commands.end(), commands.begin(), commands.end());
    };
    hooks.disconnect = [this](ConnectionId id) { m_links.at(id).isClosed = true; };
    hooks.admit = [this](const Directory::Customer&, Model::Time) { return m_isAdmitted; };
    hooks.declineForwarded = [this](SessionId id) { m_declined.push_back(id); };
    hooks.admitAgain = hooks.admit;
    hooks.demanded = [this](const Directory::Customer&, Model::Time) { ++m_demanded; };
    hooks.admissionWait
        = [this](const Directory::Customer&, std::size_t, Model::Time) { return m_admissionWait; };
    hooks.explainLimit = [](const Directory::Customer&) { return std::string("rate=1"); };
    hooks.mayUsePrimaries = [this](Model::Time) { return m_mayUsePrimaries; };
    hooks.decided = [this](const Decision& decision) { m_decisions.push_back(decision); };
    hooks.operationRan = [this](const std::string& customer, Model::Time) { ++m_operationsRan[customer]; };
    hooks.isNextTraced = [this] { return m_isTraced; };
    hooks.answered = [this](const Session& session, ResultCode, Model::Duration) {
        if (session.request->trace)
            m_hops = session.request->trace->hops();
    };
    m_engine = std::make_unique<Engine>(m_view, "north", std::move(hooks), settings);
    configure();
}

void EngineFixture::setUpstream(
    const std::string& id, Directory::Role role, Directory::Availability availability)
{
    Directory::Upstream upstream;
    upstream.id = id;
    upstream.address = id;
    upstream.service = "ledger";
    upstream.zone = "zone-" + id;
    upstream.role = role;
    upstream.slots = 2;
    upstream.availability = availability;
    upstream.revision = ++m_revision;
    m_view.setUpstream(upstream);
    if (m_engine)
        m_engine->directoryChanged(m_now);
}

void EngineFixture::configure(const std::function<void(Directory::Configuration&)>& change)
{
    auto configuration = std::make_shared<Directory::Configuration>(defaultConfiguration());
    configuration->version = ++m_version;
    if (change)
        change(*configuration);
    m_view.adopt(std::move(configuration));
    m_engine->directoryChanged(m_now);
}

SessionId EngineFixture::open(const std::string& database, const std::string& key)
{
    m_engine->openSession(++m_lastSession, database, key, m_now);
    return m_lastSession;
}

void EngineFixture::send(SessionId session, Statement statement)
{
    m_engine->handle(session, std::move(statement), m_now);
}

Statement EngineFixture::statement(StatementKind kind, const std::string& argument)
{
    return named(kind, {}, argument);
}

Statement EngineFixture::named(
    StatementKind kind, const std::string& name, const std::string& argument, PreparedKind prepared)
{
    Statement result;
    result.id = "id-1";
    result.kind = kind;
    result.name = name;
    result.argument = argument;
    result.prepared = prepared;
    return result;
}

void EngineFixture::acceptConnections()
{
    while (!m_opening.empty()) {
        const ConnectionId id = m_opening.front();
        m_opening.erase(m_opening.begin());
        if (!m_links.at(id).isClosed)
            m_engine->connectionOpened(id, {}, m_now);
    }
}

ConnectionId EngineFixture::linkTo(const std::string& upstream) const
{
    ConnectionId best = 0;
    for (const auto& [id, link] : m_links) {
        if (link.upstream == upstream && !link.isClosed)
            best = id;
    }
    return best;
}

std::vector<Command> EngineFixture::take(ConnectionId link)
{
    return std::exchange(m_links.at(link).commands, {});
}

void EngineFixture::answer(ConnectionId link, ResultCode code, TransactionState state, std::uint64_t position)
{
    Reply reply;
    reply.code = code;
    reply.state = state;
    reply.text = code == ResultCode::Complete ? "receipt" : "reason";
    if (position != 0)
        reply.position = { m_term, position };
    m_engine->connectionReply(link, reply, m_now);
}

ConnectionId EngineFixture::run(SessionId session, StatementKind kind)
{
    send(session, statement(kind, "a 1"));
    acceptConnections();
    const ConnectionId link = linkTo("p");
    take(link);
    return link;
}

void EngineFixture::observePrimary(std::uint64_t position)
{
    const SessionId writer = open("strict");
    send(writer, statement(StatementKind::Write, "item data"));
    acceptConnections();
    const ConnectionId link = linkTo("p");
    take(link);
    answer(link, ResultCode::Complete, TransactionState::None, position);
    m_engine->sessionClosed(writer, m_now);
}

void EngineFixture::advance(Model::Duration duration)
{
    m_now += duration;
    m_engine->tick(m_now);
}
