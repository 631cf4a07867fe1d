#pragma once

#include "core/proxy/forwardedstatement.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace Forwarding {

/// The reply to a forwarded statement.
struct StatementReply {
    Proxy::SessionId session = 0;
    std::uint64_t sequence = 0;
    Proxy::Reply reply;
};

/// A statement that the pool host did not take.
struct Decline {
    Proxy::SessionId session = 0;
    std::uint64_t sequence = 0;
    /// The host cannot execute statements of this service now, but those of others.
    bool isForService = false;
};

/// The transaction of a session has to be rolled back.
struct End {
    Proxy::SessionId session = 0;
};

struct Ping { };
struct Pong { };
/// The pool host is shutting down.
struct Drain { };

using Message = std::variant<Proxy::ForwardedStatement, End, Ping, StatementReply, Decline, Pong, Drain>;

std::string encode(const Message& message);
/// Returns `nullopt` if the bytes are no valid message.
std::optional<Message> decode(std::string_view bytes);

}
