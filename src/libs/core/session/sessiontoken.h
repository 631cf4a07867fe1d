#pragma once

#include "core/model/logposition.h"
#include "core/model/result.h"
#include "core/model/time.h"
#include "core/session/tokenkeys.h"

#include <string>
#include <string_view>
#include <vector>

namespace Session {

/// The last acknowledged write of a session in one service.
struct SessionEntry {
    std::string service;
    Model::LogPosition position;
};

/// What a caller carries from host to host. It is bound to the customer.
struct SessionToken {
    std::string customer;
    Model::UnixSeconds issuedAt {};
    std::vector<SessionEntry> entries;

    /// Position that a read of the service has to have reached; zero without a write.
    Model::LogPosition positionOf(std::string_view service) const;
    /// Records a write. Never lowers a position. With more than `maxEntries` services the entry that was
    /// recorded first is dropped.
    void record(std::string_view service, Model::LogPosition position);

    static constexpr std::size_t maxEntries = 8;
};

/// Serializes and signs with the first key: key id, HMAC-SHA256 and content in base64url.
std::string encodeToken(const SessionToken& token, const TokenKeys& keys);

/// Verifies and reads a token. Error: `session_token_invalid` for a malformed or forged token, or one that
/// belongs to another customer.
Model::Result<SessionToken> decodeToken(
    std::string_view text, const TokenKeys& keys, std::string_view customer);

}
