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

/// The parts of an HTTP request that the interface for callers uses.
struct HttpInput {
    /// Parts of the path below /v1/.
    std::vector<std::string> path;
    /// Value of a header; empty if it is absent.
    std::function<std::string(std::string_view)> header;
    std::string body;
};

/// A request of a caller, checked for form.
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
    /// Largest accepted age of the data of a read.
    std::optional<std::chrono::milliseconds> maxAge;
};

/// What a request brought about.
struct CallerResponse {
    std::optional<Model::Error> error;
    /// JSON document with the rows or the result; may be empty.
    std::string result;
    std::string sessionToken;
    std::string transactionId;
};

/// Reads a request. Error: `invalid_request`, `route_unknown`.
Model::Result<CallerRequest> parseCallerRequest(const HttpInput& input);

/// The body of an answer: JSON with the outcome and, for errors, code and message.
std::string formatResponse(const CallerResponse& answer);

}
