#include "database/upstreamclient.h"

#include "http/connection.h"

#include <algorithm>
#include <array>
#include <string_view>

#include <nlohmann/json.hpp>

namespace Database {

using Json = nlohmann::json;
using std::chrono::milliseconds;

namespace {

    constexpr int httpOk = 200;

    struct ErrorMapping {
        std::string_view name;
        ReplyStatus status;
    };

    constexpr std::array<ErrorMapping, 6> errorMappings { {
        { "stale_term", ReplyStatus::StaleTerm },
        { "not_primary", ReplyStatus::StaleTerm },
        { "too_many_connections", ReplyStatus::TooManyConnections },
        { "statement_failed", ReplyStatus::StatementFailed },
        { "invalid_request", ReplyStatus::StatementFailed },
        { "transaction_unknown", ReplyStatus::TransactionUnknown },
    } };

    ReplyStatus statusOf(const Http::Response& response, const Json& json)
    {
        if (response.status == Http::Status::NotSent)
            return ReplyStatus::NotSent;
        if (response.status == Http::Status::NoAnswer || !json.is_object())
            return ReplyStatus::NoAnswer;
        if (response.code == httpOk)
            return ReplyStatus::Done;
        const auto error = json.find("error");
        if (error == json.end() || !error->is_string())
            return ReplyStatus::NoAnswer;
        const auto found
            = std::ranges::find(errorMappings, error->get_ref<const std::string&>(), &ErrorMapping::name);
        // An unknown error code does not show whether the statement took effect.
        return found == errorMappings.end() ? ReplyStatus::NoAnswer : found->status;
    }

    Json parseObject(const Http::Response& response)
    {
        return response.isAnswered() ? Json::parse(response.body, nullptr, false) : Json();
    }

    std::uint64_t unsignedField(const Json& json, const char* name)
    {
        const auto found = json.find(name);
        return found != json.end() && found->is_number_unsigned() ? found->get<std::uint64_t>() : 0;
    }

    std::string stringField(const Json& json, const char* name)
    {
        const auto found = json.find(name);
        return found != json.end() && found->is_string() ? found->get<std::string>() : std::string();
    }

    UpstreamStatus parseStatus(const Json& json)
    {
        UpstreamStatus status;
        status.promisedTerm = unsignedField(json, "promisedTerm");
        status.last = { unsignedField(json, "term"), unsignedField(json, "position") };
        status.role = stringField(json, "role") == "primary" ? UpstreamRole::Primary : UpstreamRole::Replica;
        return status;
    }

}

UpstreamClient::UpstreamClient(const std::string& address)
    : m_connection(std::make_unique<Http::Connection>(address))
{
}

UpstreamClient::~UpstreamClient() = default;

StatusReply UpstreamClient::open(milliseconds timeout) { return requestStatus("/status", {}, timeout); }

StatusReply UpstreamClient::ping(milliseconds timeout)
{
    const Http::Response response = m_connection->send(
        { .path = "/status", .timeout = timeout, .use = Http::ConnectionUse::OnlyEstablished });
    const Json json = parseObject(response);
    const ReplyStatus status = statusOf(response, json);
    return { status, json.is_object() ? parseStatus(json) : UpstreamStatus {} };
}

StatusReply UpstreamClient::awaitPosition(Model::LogPosition atLeast, milliseconds wait, milliseconds timeout)
{
    return requestStatus("/position?term=" + std::to_string(atLeast.term)
            + "&atLeast=" + std::to_string(atLeast.position) + "&waitMs=" + std::to_string(wait.count()),
        {}, timeout);
}

StatusReply UpstreamClient::fence(std::uint64_t term, milliseconds timeout)
{
    return requestStatus("/fence", Json { { "term", term } }.dump(), timeout);
}

StatusReply UpstreamClient::promote(
    std::uint64_t term, const std::vector<GroupMember>& members, milliseconds timeout)
{
    Json list = Json::array();
    for (const GroupMember& member : members)
        list.push_back({ { "name", member.name }, { "address", member.address } });
    return requestStatus("/promote", Json { { "term", term }, { "members", list } }.dump(), timeout);
}

StatusReply UpstreamClient::follow(
    std::uint64_t term, const std::string& primaryAddress, milliseconds timeout)
{
    return requestStatus("/follow", Json { { "term", term }, { "primary", primaryAddress } }.dump(), timeout);
}

StatementReply UpstreamClient::execute(
    std::uint64_t term, const Statement& statement, const std::string& traceparent, milliseconds timeout)
{
    Json body { { "term", term }, { "sql", statement.sql }, { "write", statement.isWrite } };
    if (statement.isInTransaction)
        body["transaction"] = true;
    body["params"] = Json::parse(statement.params, nullptr, false);
    if (!statement.requestId.empty())
        body["requestId"] = statement.requestId;
    return requestStatement("/execute", body.dump(), traceparent, timeout);
}

StatementReply UpstreamClient::begin(std::uint64_t term, milliseconds ttl, milliseconds timeout)
{
    return requestStatement(
        "/begin", Json { { "term", term }, { "ttlMs", ttl.count() } }.dump(), {}, timeout);
}

StatementReply UpstreamClient::commit(const std::string& requestId, milliseconds timeout)
{
    Json body = Json::object();
    if (!requestId.empty())
        body["requestId"] = requestId;
    return requestStatement("/commit", body.dump(), {}, timeout);
}

StatementReply UpstreamClient::rollback(milliseconds timeout)
{
    return requestStatement("/rollback", "{}", {}, timeout);
}

void UpstreamClient::close() { m_connection->close(); }

void UpstreamClient::abort() { m_connection->abort(); }

StatusReply UpstreamClient::requestStatus(
    const std::string& path, const std::string& body, milliseconds timeout)
{
    const Http::Method method = body.empty() ? Http::Method::Get : Http::Method::Post;
    const Http::Response response
        = m_connection->send({ .method = method, .path = path, .body = body, .timeout = timeout });
    const Json json = parseObject(response);
    return { statusOf(response, json), json.is_object() ? parseStatus(json) : UpstreamStatus {} };
}

StatementReply UpstreamClient::requestStatement(
    const std::string& path, const std::string& body, const std::string& traceparent, milliseconds timeout)
{
    Http::Request request { .method = Http::Method::Post, .path = path, .body = body, .timeout = timeout };
    request.use = Http::ConnectionUse::OnlyEstablished;
    if (!traceparent.empty())
        request.headers.push_back("traceparent: " + traceparent);
    const Http::Response response = m_connection->send(request);
    Json json = parseObject(response);
    StatementReply reply;
    reply.status = statusOf(response, json);
    if (!json.is_object()) {
        reply.message = response.error;
        return reply;
    }
    reply.position = { unsignedField(json, "term"), unsignedField(json, "position") };
    reply.message = stringField(json, "message");
    for (const char* name : { "term", "position" })
        json.erase(name);
    reply.result = json.dump();
    return reply;
}

}
