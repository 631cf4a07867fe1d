#include "gateway/callerrequest.h"

#include <charconv>

#include <nlohmann/json.hpp>

namespace Gateway {

using Json = nlohmann::json;
using Model::ErrorCode;
using Model::makeError;

namespace {

    constexpr std::chrono::milliseconds maxTimeout { 30000 };
    constexpr std::string_view bearerPrefix = "Bearer ";

    Model::Result<void> parsePath(const std::vector<std::string>& path, CallerRequest& request)
    {
        if (path.size() < 2 || path[0].empty())
            return makeError(ErrorCode::RouteUnknown, "no such path");
        request.route = path[0];
        if (path.size() == 2 && path[1] == "statement") {
            request.operation = Operation::Statement;
            return {};
        }
        if (path[1] != "transaction" || path.size() > 4)
            return makeError(ErrorCode::RouteUnknown, "no such path");
        if (path.size() == 2) {
            request.operation = Operation::Begin;
            return {};
        }
        request.transactionId = path[2];
        if (path.size() == 3)
            request.operation = Operation::TransactionStatement;
        else if (path[3] == "commit")
            request.operation = Operation::Commit;
        else if (path[3] == "rollback")
            request.operation = Operation::Rollback;
        else
            return makeError(ErrorCode::RouteUnknown, "no such path");
        return {};
    }

    Model::Result<void> parseHeaders(const HttpInput& input, CallerRequest& request)
    {
        const std::string authorization = input.header("Authorization");
        if (!authorization.empty()) {
            if (!authorization.starts_with(bearerPrefix) || authorization.size() == bearerPrefix.size())
                return makeError(
                    ErrorCode::InvalidRequest, "the Authorization header must have the form Bearer KEY");
            request.key = authorization.substr(bearerPrefix.size());
        }
        request.sessionToken = input.header("Parsleytack-Session");
        request.requestId = input.header("Parsleytack-Request-Id");
        request.traceparent = input.header("traceparent");
        const std::string timeout = input.header("Parsleytack-Timeout-Ms");
        if (timeout.empty())
            return {};
        std::int64_t value = 0;
        const char* end = timeout.data() + timeout.size();
        const auto [stop, error] = std::from_chars(timeout.data(), end, value);
        if (error != std::errc() || stop != end || value < 1 || value > maxTimeout.count())
            return makeError(
                ErrorCode::InvalidRequest, "Parsleytack-Timeout-Ms must be an integer from 1 to 30000");
        request.timeout = std::chrono::milliseconds(value);
        return {};
    }

    Model::Result<void> parseField(const std::string& name, const Json& value, CallerRequest& request)
    {
        if (name == "sql" && value.is_string())
            request.sql = value.get<std::string>();
        else if (name == "params" && value.is_array())
            request.params = value.dump(-1, ' ', false, Json::error_handler_t::replace);
        else if (name == "write" && value.is_boolean())
            request.isWrite = value.get<bool>();
        else if (name == "maxAgeMs" && value.is_number_unsigned() && value.get<std::uint64_t>() <= UINT32_MAX)
            request.maxAge = std::chrono::milliseconds(value.get<std::uint32_t>());
        else
            return makeError(
                ErrorCode::InvalidRequest, "the field \"" + name + "\" is unknown or has the wrong type");
        return {};
    }

    Model::Result<void> parseBody(const std::string& body, CallerRequest& request)
    {
        const bool hasStatement = request.operation == Operation::Statement
            || request.operation == Operation::TransactionStatement;
        if (!hasStatement) {
            const bool isEmpty = body.empty() || body == "{}";
            return isEmpty ? Model::Result<void>()
                           : makeError(ErrorCode::InvalidRequest,
                               "the body of begin, commit and rollback must be empty or {}");
        }
        const Json json = Json::parse(body, nullptr, false);
        if (!json.is_object())
            return makeError(ErrorCode::InvalidRequest, "the body is not a JSON object");
        for (const auto& [name, value] : json.items()) {
            if (auto parsed = parseField(name, value, request); !parsed)
                return parsed;
        }
        if (request.sql.empty())
            return makeError(ErrorCode::InvalidRequest, "the field \"sql\" is missing");
        if (request.isWrite && request.maxAge)
            return makeError(ErrorCode::InvalidRequest, "the field \"maxAgeMs\" is allowed for reads only");
        return {};
    }

}

Model::Result<CallerRequest> parseCallerRequest(const HttpInput& input)
{
    CallerRequest request;
    if (auto parsed = parsePath(input.path, request); !parsed)
        return tl::unexpected(parsed.error());
    if (auto parsed = parseHeaders(input, request); !parsed)
        return tl::unexpected(parsed.error());
    if (auto parsed = parseBody(input.body, request); !parsed)
        return tl::unexpected(parsed.error());
    const bool acceptsRequestId = (request.operation == Operation::Statement && request.isWrite)
        || request.operation == Operation::Commit;
    if (!request.requestId.empty() && !acceptsRequestId)
        return makeError(ErrorCode::InvalidRequest,
            "a request id is allowed only for commits and for writes outside of transactions");
    return request;
}

std::string formatResponse(const CallerResponse& response)
{
    if (response.error) {
        const Model::ErrorInfo& info = response.error->info();
        const Json json { { "outcome", Model::outcomeName(info.outcome) }, { "code", info.name },
            { "message", response.error->message } };
        return json.dump(-1, ' ', false, Json::error_handler_t::replace);
    }
    Json json { { "outcome", Model::outcomeName(Model::Outcome::Done) } };
    if (!response.result.empty())
        json["result"] = Json::parse(response.result, nullptr, false);
    if (!response.transactionId.empty())
        json["transaction"] = response.transactionId;
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}
