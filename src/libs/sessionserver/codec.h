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
    /// Requests a session.
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
    /// Ends the answer to one message of the proxy.
    Ready,
    Invalid,
};

/// One message of an upstream.
struct UpstreamMessage {
    UpstreamMessageKind kind = UpstreamMessageKind::Invalid;
    /// Depending on the kind: the row, the receipt for a completed statement, or the text of the error.
    std::string text;
    /// Set for errors.
    Proxy::ResultCode code = Proxy::ResultCode::Complete;
    /// State of the transaction and end of the upstream's log; set with `Ready`.
    Proxy::TransactionState state = Proxy::TransactionState::None;
    Model::LogPosition position;
};

/// Parsers and encoders of the protocol of callers and upstreams, whose messages are lines of text. Encoders
/// append to the given buffer.
struct Codec {
    /// Longest accepted line in bytes, without the line feed at its end.
    std::size_t maxLine = 1024UL * 1024;
    std::function<CallerMessage(std::string_view line)> parseCaller;
    std::function<UpstreamMessage(std::string_view line)> parseUpstream;
    /// Parses the row that answers a status request; returns `nullopt` if it is malformed.
    std::function<std::optional<Failover::UpstreamStatus>(std::string_view row)> parseStatus;
    /// Encodes the reply that accepts a caller's session.
    std::function<void(std::string&, const Proxy::Reply&)> encodeGreeting;
    std::function<void(std::string&, const Proxy::Reply&)> encodeReply;
    /// Encodes the reply that rejects a caller's session.
    std::function<void(std::string&, Proxy::ResultCode, std::string_view text)> encodeRejection;
    /// Encodes the message that opens a customer's connection to an upstream.
    std::function<void(std::string&, const Directory::Upstream&, const std::string& customer)> encodeOpen;
    std::function<void(std::string&, const Proxy::Command&)> encodeCommand;
};

}
