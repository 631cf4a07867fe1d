#include "database/member.h"

#include "http/connection.h"

#include <algorithm>

namespace Standins {

namespace {

    using std::chrono::milliseconds;

    constexpr std::uint64_t initialTerm = 1;
    constexpr std::size_t maxEntriesPerAnswer = 1000;
    constexpr milliseconds maxWait { 30000 };
    constexpr milliseconds replicationRetry { 20 };
    // Short, so that a member that is switched to another primary does not wait long for the previous one.
    constexpr milliseconds replicationWait { 200 };
    constexpr milliseconds replicationTimeout { 600 };

    HttpResponse statementFailed(const std::string& message)
    {
        return jsonResponse(422, { { "error", "statement_failed" }, { "message", message } });
    }

}

Member::Member(MemberOptions options)
    : m_options(std::move(options))
{
    if (m_options.initialPrimary.empty())
        return;
    m_promisedTerm = initialTerm;
    m_isPrimary = m_options.initialPrimary == m_options.address;
    if (m_isPrimary)
        m_log.append({ initialTerm, wallClockMs(), {}, {}, nullptr });
    else
        m_following = m_options.initialPrimary;
}

HttpResponse Member::handle(const HttpRequest& request)
{
    if (request.path == "/_control")
        return control(request);
    Lock lock(m_mutex);
    if (request.path == "/replicate") {
        waitWhileFrozen(lock);
        return sendEntries(request, lock);
    }
    if (!m_watchedText.empty()
        && (request.headers + request.body + request.path).find(m_watchedText) != std::string::npos)
        ++m_watchedRequests;
    const bool isNew = !m_connections.contains(request.connection);
    if (!admit(request.connection)) {
        HttpResponse response = jsonResponse(503, { { "error", "too_many_connections" } });
        response.closesConnection = true;
        return response;
    }
    if (isNew && m_options.setupMs > 0) {
        const milliseconds setup(m_options.setupMs);
        lock.unlock();
        std::this_thread::sleep_for(setup);
        lock.lock();
    }
    waitWhileFrozen(lock);
    HttpResponse response = dispatch(request, lock);
    waitWhileFrozen(lock);
    return response;
}

bool Member::admit(ConnectionId connection)
{
    if (m_connections.contains(connection))
        return true;
    if (m_connections.size() >= m_options.connectionLimit) {
        ++m_refusedConnections;
        return false;
    }
    m_connections.insert(connection);
    ++m_openedConnections;
    m_peakConnections = std::max(m_peakConnections, m_connections.size());
    return true;
}

void Member::connectionClosed(ConnectionId connection)
{
    const std::scoped_lock lock(m_mutex);
    m_connections.erase(connection);
    m_rolledBack += m_transactions.erase(connection);
}

HttpResponse Member::dispatch(const HttpRequest& request, Lock& lock)
{
    if (request.path == "/status")
        return status();
    if (request.path == "/position")
        return position(request, lock);
    if (request.method != "POST")
        return jsonResponse(404, { { "error", "not_found" } });
    const Json body = Json::parse(request.body);
    if (request.path == "/execute")
        return execute(request.connection, body, lock);
    if (request.path == "/begin")
        return begin(request.connection, body);
    if (request.path == "/commit")
        return commit(request.connection, body, lock);
    if (request.path == "/rollback")
        return rollback(request.connection);
    if (request.path == "/fence")
        return fence(body);
    if (request.path == "/promote")
        return promote(body);
    if (request.path == "/follow")
        return follow(body);
    return jsonResponse(404, { { "error", "not_found" } });
}

Json Member::lastEntry() const
{
    return { { "promisedTerm", m_promisedTerm }, { "term", m_log.lastTerm() },
        { "position", m_log.lastPosition() } };
}

HttpResponse Member::refuse(const std::string& error) const
{
    Json body = lastEntry();
    body["error"] = error;
    return jsonResponse(409, body);
}

HttpResponse Member::status() const
{
    Json body = lastEntry();
    body["name"] = m_options.name;
    body["role"] = m_isPrimary ? "primary" : "replica";
    body["following"] = m_following;
    body["connections"] = m_connections.size();
    body["peers"] = m_options.peers;
    return jsonResponse(200, body);
}

HttpResponse Member::position(const HttpRequest& request, Lock& lock)
{
    const auto wanted = std::pair(request.number("term"), request.number("atLeast"));
    const milliseconds wait = std::min(milliseconds(request.number("waitMs")), maxWait);
    m_changed.wait_for(
        lock, wait, [&] { return std::pair(m_log.lastTerm(), m_log.lastPosition()) >= wanted; });
    return jsonResponse(200, lastEntry());
}

HttpResponse Member::fence(const Json& body)
{
    const auto term = body.at("term").get<std::uint64_t>();
    if (term <= m_promisedTerm)
        return refuse("stale_term");
    m_promisedTerm = term;
    m_isPrimary = false;
    m_following.clear();
    m_rolledBack += m_transactions.size();
    m_transactions.clear();
    m_changed.notify_all();
    return jsonResponse(200, lastEntry());
}

HttpResponse Member::promote(const Json& body)
{
    if (!hasCurrentTerm(body))
        return refuse("stale_term");
    // A repeated call, for example after a lost response, must not append a second empty entry.
    if (!m_isPrimary) {
        m_isPrimary = true;
        m_following.clear();
        m_log.append({ m_promisedTerm, wallClockMs(), {}, {}, nullptr });
        m_changed.notify_all();
    }
    return jsonResponse(200, lastEntry());
}

HttpResponse Member::follow(const Json& body)
{
    const auto term = body.at("term").get<std::uint64_t>();
    const auto primary = body.at("primary").get<std::string>();
    if (term < m_promisedTerm || (term == m_promisedTerm && m_isPrimary))
        return refuse("stale_term");
    if (primary == m_options.address)
        return jsonResponse(400, { { "error", "invalid_request" } });
    m_promisedTerm = term;
    m_isPrimary = false;
    m_following = primary;
    m_rolledBack += m_transactions.size();
    m_transactions.clear();
    m_changed.notify_all();
    return jsonResponse(200, lastEntry());
}

Member::Transaction* Member::openTransaction(ConnectionId connection)
{
    const auto found = m_transactions.find(connection);
    if (found == m_transactions.end())
        return nullptr;
    if (Clock::now() <= found->second.lastUsed + found->second.ttl)
        return &found->second;
    m_transactions.erase(found);
    ++m_rolledBack;
    return nullptr;
}

void Member::occupySlot(int extraMs, Lock& lock)
{
    m_changed.wait(lock, [this] { return m_busySlots < m_options.slots; });
    ++m_busySlots;
    const milliseconds time(m_options.serviceMs + extraMs);
    if (time.count() > 0) {
        lock.unlock();
        std::this_thread::sleep_for(time);
        lock.lock();
    }
    --m_busySlots;
    m_changed.notify_all();
    waitWhileFrozen(lock);
}

HttpResponse Member::execute(ConnectionId connection, const Json& body, Lock& lock)
{
    const bool isWrite = body.value("write", false);
    if (!hasCurrentTerm(body) || (isWrite && !m_isPrimary))
        return refuse("stale_term");
    const auto statement = parseStatement(body.at("sql"), body.value("params", Json::array()));
    if (!statement)
        return statementFailed("syntax error or missing parameter");
    const bool isInTransaction = body.value("transaction", false);
    const bool isMixed = !isInTransaction && openTransaction(connection) != nullptr;
    m_mixedStatements += isMixed ? 1 : 0;
    if (isMixed)
        return refuse("transaction_open");
    occupySlot(sleepMs(*statement), lock);
    ++m_statements;
    if (!hasCurrentTerm(body) || (isWrite && !m_isPrimary))
        return refuse("stale_term");
    if (isChange(*statement) && !isWrite)
        return statementFailed("a statement that changes the table must set \"write\"");
    Transaction* transaction = isInTransaction ? openTransaction(connection) : nullptr;
    if (isInTransaction && !transaction)
        return refuse("transaction_unknown");
    if (isWrite && !transaction
        && m_log.positionOf(body.value("requestId", std::string()), m_options.retentionMs) != 0)
        return appendWrite({}, nullptr, body);
    TableView view { m_log.table(), {} };
    if (transaction) {
        for (const Statement& earlier : transaction->statements)
            runStatement(view, earlier);
        transaction->lastUsed = Clock::now();
    }
    const auto result = runStatement(view, *statement);
    if (!result)
        return statementFailed("unknown statement or invalid operand");
    if (!isWrite) {
        Json answer { { "rows", *result }, { "term", m_log.lastTerm() },
            { "position", m_log.lastPosition() } };
        return jsonResponse(200, answer);
    }
    if (!transaction)
        return appendWrite({ *statement }, *result, body);
    transaction->statements.push_back(*statement);
    return jsonResponse(200, { { "result", *result } });
}

HttpResponse Member::appendWrite(std::vector<Statement> statements, const Json& result, const Json& body)
{
    const auto requestId = body.value("requestId", std::string());
    std::uint64_t position = m_log.positionOf(requestId, m_options.retentionMs);
    const bool isRepeated = position != 0;
    if (!isRepeated) {
        m_log.append({ m_promisedTerm, wallClockMs(), requestId, std::move(statements), result });
        position = m_log.lastPosition();
        m_changed.notify_all();
    }
    const LogEntry& entry = m_log.entries()[position - 1];
    return jsonResponse(200,
        { { "term", entry.term }, { "position", position }, { "result", entry.result },
            { "repeated", isRepeated } });
}

HttpResponse Member::begin(ConnectionId connection, const Json& body)
{
    if (!hasCurrentTerm(body) || !m_isPrimary)
        return refuse("stale_term");
    if (openTransaction(connection)) {
        ++m_mixedStatements;
        return refuse("transaction_open");
    }
    m_transactions[connection] = { milliseconds(body.at("ttlMs").get<int>()), Clock::now(), {} };
    return jsonResponse(200, Json::object());
}

HttpResponse Member::commit(ConnectionId connection, const Json& body, Lock& lock)
{
    occupySlot(0, lock);
    // A fence removes all transactions, so an open transaction belongs to the promised term.
    const Transaction* transaction = openTransaction(connection);
    if (!transaction)
        return refuse("transaction_unknown");
    std::vector<Statement> statements = transaction->statements;
    m_transactions.erase(connection);
    return appendWrite(std::move(statements), nullptr, body);
}

HttpResponse Member::rollback(ConnectionId connection)
{
    if (!openTransaction(connection))
        return refuse("transaction_unknown");
    m_transactions.erase(connection);
    ++m_rolledBack;
    return jsonResponse(200, Json::object());
}

HttpResponse Member::sendEntries(const HttpRequest& request, Lock& lock)
{
    const std::uint64_t after = request.number("after");
    const auto lag = static_cast<std::int64_t>(request.number("lagMs"));
    const auto deadline = Clock::now() + milliseconds(request.number("waitMs"));
    const auto refused = [&] {
        return m_isPartitioned || m_isFrozen || !m_isPrimary || request.number("term") != m_promisedTerm;
    };
    const auto isDue = [&](std::uint64_t position) {
        return position <= m_log.lastPosition()
            && (lag == 0 || m_log.entries()[position - 1].createdMs + lag <= wallClockMs());
    };
    while (!refused() && !isDue(after + 1) && Clock::now() < deadline) {
        // Nothing is notified when an entry reaches the age of the lag, so this is polled every 2 ms.
        const auto pollEnd = lag == 0 ? deadline : std::min(deadline, Clock::now() + milliseconds(2));
        m_changed.wait_until(lock, pollEnd);
    }
    if (refused())
        return refuse("stale_term");
    const std::uint64_t afterTerm = request.number("afterTerm");
    if (m_log.termAt(after) != afterTerm) {
        const std::uint64_t common = m_log.commonPosition(afterTerm, after);
        return jsonResponse(200, { { "truncateTo", std::min(common, after - 1) } });
    }
    Json entries = Json::array();
    for (std::uint64_t position = after + 1; isDue(position) && entries.size() < maxEntriesPerAnswer;
         ++position)
        entries.push_back(m_log.entries()[position - 1].toJson());
    return jsonResponse(200, { { "entries", entries } });
}

void Member::replicate()
{
    std::string connectedTo;
    std::unique_ptr<Http::Connection> connection;
    while (true) {
        Lock lock(m_mutex);
        m_changed.wait(lock, [this] { return !m_following.empty() && !m_isPartitioned && !m_isFrozen; });
        const ReplicationSource source { m_following, m_promisedTerm };
        const std::uint64_t after = m_log.lastPosition();
        const std::string path = "/replicate?term=" + std::to_string(source.term)
            + "&after=" + std::to_string(after) + "&afterTerm=" + std::to_string(m_log.lastTerm()) + "&lagMs="
            + std::to_string(m_options.lagMs) + "&waitMs=" + std::to_string(replicationWait.count());
        lock.unlock();
        if (std::exchange(connectedTo, source.primary) != source.primary)
            connection = std::make_unique<Http::Connection>(source.primary);
        const Http::Response response = connection->send({ .path = path, .timeout = replicationTimeout });
        const Json answer = Json::parse(response.body, nullptr, false);
        if (!response.isAnswered() || !answer.is_object() || answer.contains("error")) {
            std::this_thread::sleep_for(replicationRetry);
            continue;
        }
        lock.lock();
        applyEntries(source, after, answer);
    }
}

void Member::applyEntries(const ReplicationSource& source, std::uint64_t after, const Json& answer)
{
    const bool isStale = source != ReplicationSource { m_following, m_promisedTerm }
        || after != m_log.lastPosition() || m_isPartitioned || m_isFrozen;
    if (isStale)
        return;
    if (answer.contains("truncateTo")) {
        m_log.truncate(answer["truncateTo"]);
        return;
    }
    for (const Json& entry : answer.at("entries"))
        m_log.append(LogEntry::fromJson(entry));
    m_changed.notify_all();
}

void Member::waitWhileFrozen(Lock& lock)
{
    m_changed.wait(lock, [this] { return !m_isFrozen; });
}

HttpResponse Member::control(const HttpRequest& request)
{
    const std::scoped_lock lock(m_mutex);
    if (request.method != "GET") {
        const Json body = Json::parse(request.body);
        m_options.lagMs = body.value("lagMs", m_options.lagMs);
        m_options.serviceMs = body.value("serviceMs", m_options.serviceMs);
        m_options.connectionLimit = body.value("connectionLimit", m_options.connectionLimit);
        m_isFrozen = body.value("frozen", m_isFrozen);
        m_isPartitioned = body.value("cutOff", m_isPartitioned);
        m_watchedText = body.value("watchedText", m_watchedText);
        m_changed.notify_all();
    }
    Json answer = lastEntry();
    answer["connections"] = m_connections.size();
    answer["peakConnections"] = m_peakConnections;
    answer["openedConnections"] = m_openedConnections;
    answer["refusedConnections"] = m_refusedConnections;
    answer["statements"] = m_statements;
    answer["openTransactions"] = m_transactions.size();
    answer["rolledBack"] = m_rolledBack;
    answer["mixedStatements"] = m_mixedStatements;
    answer["watchedRequests"] = m_watchedRequests;
    answer["role"] = m_isPrimary ? "primary" : "replica";
    if (const auto key = request.query.find("key"); key != request.query.end()) {
        const auto found = m_log.table().find(key->second);
        answer["value"] = found == m_log.table().end() ? "" : found->second;
    }
    if (request.query.contains("log")) {
        answer["log"] = Json::array();
        for (const LogEntry& entry : m_log.entries())
            answer["log"].push_back(entry.toJson());
    }
    return jsonResponse(200, answer);
}

}
