#pragma once

#include "core/model/result.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Gateway {

enum class Operation : std::uint8_t {
    Statement,
    Begin,
    TransactionStatement,
    Commit,
    Rollback,
};

/// The parts of an HTTP request that `parseCallerRequest` reads.
struct HttpInput {
    /// Segments of the path after `/v1/`.
    std::vector<std::string> path;
    /// Returns the value of a header; empty if it is absent.
    std::function<std::string(std::string_view)> header;
    std::string body;
};

/// A syntactically valid request of a caller.
struct CallerRequest {
    Operation operation = Operation::Statement;
    std::string route;
    std::string transactionId;
    /// The caller's key; empty if none was sent.
    std::string key;
    std::string sessionToken;
    /// Idempotency key; empty if none was sent.
    std::string requestId;
    std::string traceparent;
    std::chrono::milliseconds timeout { 5000 };
    std::string sql;
    /// JSON array.
    std::string params = "[]";
    bool isWrite = false;
    /// Maximum staleness of the data that a read may return; absent if the request sets no limit.
    std::optional<std::chrono::milliseconds> maxAge;
};

/// The result of a request: an error, or the rows or result that the database returned.
struct CallerResponse {
    std::optional<Model::Error> error;
    /// JSON document with the rows or the result; may be empty.
    std::string result;
    std::string sessionToken;
    std::string transactionId;
};

/// Parses a request and checks its syntax. Errors: `route_unknown` for an unknown path, otherwise
/// `invalid_request`.
Model::Result<CallerRequest> parseCallerRequest(const HttpInput& input);

/// Returns the JSON body of a response: the outcome and, for errors, the code and the message.
std::string formatResponse(const CallerResponse& response);

}
