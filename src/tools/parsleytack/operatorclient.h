#pragma once

#include "http/connection.h"

#include <chrono>
#include <cstdint>
#include <string>

#include <nlohmann/json.hpp>

namespace Tool {

/// What is known about a request after its answer, or the lack of it.
enum class ReplyStatus : std::uint8_t {
    Done,
    Refused,
    /// Nothing was sent, or a request that changes nothing was not answered.
    NotReachable,
    OutcomeUnknown,
};

struct Reply {
    ReplyStatus status = ReplyStatus::NotReachable;
    /// The answer; null if there was none.
    nlohmann::ordered_json json;
    /// What went wrong, for people.
    std::string message;
};

/// Sends requests to one host's interface for operators. Used on one thread.
class OperatorClient {
public:
    OperatorClient(const std::string& server, const std::string& secret, std::chrono::milliseconds timeout);

    /// A request that changes nothing.
    Reply read(Http::Method method, const std::string& path, const std::string& body = {});
    /// A request whose outcome is unknown if it is sent and not answered.
    Reply change(Http::Method method, const std::string& path, const std::string& body = {});

private:
    Http::Response send(Http::Method method, const std::string& path, const std::string& body);

    Http::Connection m_connection;
    std::string m_authorization;
    std::chrono::milliseconds m_timeout;
};

/// Percent-encodes a name or value for a path or query.
std::string encodeForUrl(const std::string& text);

}
