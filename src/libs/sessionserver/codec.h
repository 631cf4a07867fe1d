#pragma once

#include "core/directory/upstream.h"
#include "core/failover/upstreamstatus.h"
#include "core/proxy/command.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace SessionServer {

enum class CallerMessageKind : std::uint8_t {
    /// Asks for a session.
    Open,
    Statement,
    /// Ends the session.
    Close,
    Invalid,
};

/// One message of a caller.
struct CallerMessage {
    CallerMessageKind kind = CallerMessageKind::Invalid;
    std::string database;
    std::string key;
    Proxy::Statement statement;
};

enum class UpstreamMessageKind : std::uint8_t {
    Row,
    Complete,
    Error,
    /// Ends the answer to a message.
    Ready,
    Invalid,
};

/// One message of an upstream.
struct UpstreamMessage {
    UpstreamMessageKind kind = UpstreamMessageKind::Invalid;
    /// A row, the receipt of a complete statement, or the text of an error.
    std::string text;
    Proxy::ResultCode code = Proxy::ResultCode::Complete;
    Proxy::TransactionState state = Proxy::TransactionState::None;
    Model::LogPosition position;
};

/// The protocol that callers and upstreams speak: messages are lines of text. Encoders append to a buffer.
struct Codec {
    /// Longest line that is accepted, in bytes.
    std::size_t maxLine = 1024UL * 1024;
    std::function<CallerMessage(std::string_view line)> parseCaller;
    std::function<UpstreamMessage(std::string_view line)> parseUpstream;
    /// Reads the row that answers a question for the status; nothing if it cannot be read.
    std::function<std::optional<Failover::UpstreamStatus>(std::string_view row)> parseStatus;
    /// A greeting accepts a session.
    std::function<void(std::string&, const Proxy::Reply&)> encodeGreeting;
    std::function<void(std::string&, const Proxy::Reply&)> encodeReply;
    std::function<void(std::string&, Proxy::ResultCode, std::string_view text)> encodeRejection;
    std::function<void(std::string&, const Directory::Upstream&, const std::string& customer)> encodeOpen;
    std::function<void(std::string&, const Proxy::Command&)> encodeCommand;
};

}
