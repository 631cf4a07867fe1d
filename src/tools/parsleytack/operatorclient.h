#pragma once

#include "http/connection.h"

#include <chrono>
#include <cstdint>
#include <string>

#include <nlohmann/json.hpp>

namespace Tool {

/// Outcome of a request, as far as the client can know it.
enum class ReplyStatus : std::uint8_t {
    Done,
    /// The host did not run the request.
    Refused,
    /// The request was not sent, or it changes nothing and got no response.
    NotReachable,
    /// The change may or may not have taken effect.
    OutcomeUnknown,
};

struct Reply {
    ReplyStatus status = ReplyStatus::NotReachable;
    /// Body of the response; null if there was no response, or none that parsleytackd sends.
    nlohmann::ordered_json json;
    /// Error message for the operator; empty if the host sent none.
    std::string message;
};

/// Sends requests to the operator interface of one host. Not thread-safe.
class OperatorClient {
public:
    /// `server` has the form `IP:PORT`; `timeout` limits each request.
    OperatorClient(const std::string& server, const std::string& secret, std::chrono::milliseconds timeout);

    /// Sends a request that changes nothing. Without a response, the status is ReplyStatus::NotReachable.
    Reply read(Http::Method method, const std::string& path, const std::string& body = {});
    /// Sends a change. If it was sent and got no response, the status is ReplyStatus::OutcomeUnknown.
    Reply change(Http::Method method, const std::string& path, const std::string& body = {});

private:
    Http::Response send(Http::Method method, const std::string& path, const std::string& body);

    Http::Connection m_connection;
    std::string m_authorization;
    std::chrono::milliseconds m_timeout;
};

/// Percent-encodes a path segment or query value.
std::string encodeForUrl(const std::string& text);

}
