#include "tablestore/storeclient.h"

#include "http/connection.h"

#include <nlohmann/json.hpp>

namespace TableStore {

using Json = nlohmann::json;
using Model::ErrorCode;
using Model::makeError;

namespace {

    constexpr int httpOk = 200;
    constexpr int httpNotFound = 404;
    constexpr int httpConflict = 409;

    std::optional<Row> parseRow(const std::string& body)
    {
        const Json json = Json::parse(body, nullptr, false);
        if (!json.is_object())
            return std::nullopt;
        try {
            return Row { json.at("version").get<std::uint64_t>(), json.at("nonce").get<std::string>(),
                json.at("value").get<std::string>() };
        } catch (const Json::exception&) {
            return std::nullopt;
        }
    }

}

StoreClient::StoreClient(const std::string& address, std::chrono::milliseconds timeout)
    : m_timeout(timeout)
    , m_connection(std::make_unique<Http::Connection>(address))
{
}

StoreClient::~StoreClient() = default;

Http::Response StoreClient::send(Http::Request request)
{
    request.timeout = m_timeout;
    const std::lock_guard lock(m_mutex);
    return m_connection->send(request);
}

Model::Result<Row> StoreClient::row(const std::string& key)
{
    const Http::Response response = send({ .path = "/table/" + key });
    if (response.isAnswered() && response.code == httpNotFound)
        return Row {};
    if (response.isAnswered() && response.code == httpOk) {
        if (auto row = parseRow(response.body))
            return *row;
    }
    return makeError(ErrorCode::StoreUnavailable);
}

PutResult StoreClient::putRow(const std::string& key, const Row& row)
{
    const Json body { { "version", row.version }, { "nonce", row.nonce }, { "value", row.value } };
    const Http::Response response
        = send({ .method = Http::Method::Put, .path = "/table/" + key, .body = body.dump() });
    if (response.status == Http::Status::NotSent)
        return { PutStatus::Unavailable, {} };
    const auto current = response.isAnswered() ? parseRow(response.body) : std::nullopt;
    if (current && response.code == httpOk)
        return { PutStatus::Done, *current };
    if (current && response.code == httpConflict)
        return { PutStatus::Conflict, *current };
    return { PutStatus::Unknown, {} };
}

Model::Result<std::optional<std::string>> StoreClient::object(const std::string& hash)
{
    const Http::Response response = send({ .path = "/object/" + hash });
    if (response.isAnswered() && response.code == httpOk)
        return std::optional(response.body);
    if (response.isAnswered() && response.code == httpNotFound)
        return std::optional<std::string>();
    return makeError(ErrorCode::StoreUnavailable);
}

Model::Result<void> StoreClient::putObject(const std::string& hash, const std::string& content)
{
    const Http::Response response
        = send({ .method = Http::Method::Put, .path = "/object/" + hash, .body = content });
    if (!response.isAnswered() || response.code != httpOk)
        return makeError(ErrorCode::StoreUnavailable);
    return {};
}

Model::Result<std::vector<LiveHost>> StoreClient::liveHosts()
{
    const Http::Response response = send({ .path = "/hosts" });
    const Json json = response.isAnswered() && response.code == httpOk
        ? Json::parse(response.body, nullptr, false)
        : Json();
    if (!json.is_array())
        return makeError(ErrorCode::StoreUnavailable);
    std::vector<LiveHost> hosts;
    try {
        for (const Json& item : json) {
            hosts.push_back({ item.at("name").get<std::string>(), item.at("address").get<std::string>(),
                item.at("zone").get<std::string>(), item.at("state").get<std::string>() == "leaving" });
        }
    } catch (const Json::exception&) {
        return makeError(ErrorCode::StoreUnavailable, "the live-host list is malformed");
    }
    return hosts;
}

}
