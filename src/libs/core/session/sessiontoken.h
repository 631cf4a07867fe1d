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

/// The log positions of a session's writes. The caller sends the token with each request, to any host, so
/// that its reads see its own writes. Only valid for `customer`.
struct SessionToken {
    std::string customer;
    Model::UnixSeconds issuedAt {};
    std::vector<SessionEntry> entries;

    /// Returns the position that an upstream must have reached to serve a read of the service; zero if the
    /// session has not written to the service.
    Model::LogPosition positionOf(std::string_view service) const;
    /// Records an acknowledged write. Never lowers a position. With more than `maxEntries` services, the
    /// entry that was added first is discarded.
    void record(std::string_view service, Model::LogPosition position);

    static constexpr std::size_t maxEntries = 8;
};

/// Serializes the token and signs it with the first key. The format is KEY-ID.DATA, where DATA is the
/// HMAC-SHA256 of the content and the content (Wire::SessionToken), together in base64url.
std::string encodeToken(const SessionToken& token, const TokenKeys& keys);

/// Verifies and parses a token. Error: `session_token_invalid` if the token is malformed, forged, signed with
/// an unknown key or belongs to another customer.
Model::Result<SessionToken> decodeToken(
    std::string_view text, const TokenKeys& keys, std::string_view customer);

}
