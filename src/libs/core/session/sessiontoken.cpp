#include "core/session/sessiontoken.h"

#include "crypto/base64url.h"
#include "crypto/digest.h"
#include "wire/token.pb.h"

#include <algorithm>

namespace Session {

using Model::ErrorCode;
using Model::makeError;

namespace {

    constexpr std::size_t maxTokenSize = 4096;
    constexpr std::size_t digestSize = 32;

}

Model::LogPosition SessionToken::positionOf(std::string_view service) const
{
    const auto found = std::ranges::find(entries, service, &SessionEntry::service);
    return found == entries.end() ? Model::LogPosition {} : found->position;
}

void SessionToken::record(std::string_view service, Model::LogPosition position)
{
    const auto found = std::ranges::find(entries, service, &SessionEntry::service);
    if (found != entries.end()) {
        found->position = std::max(found->position, position);
        return;
    }
    if (entries.size() == maxEntries)
        entries.erase(entries.begin());
    entries.push_back({ std::string(service), position });
}

std::string encodeToken(const SessionToken& token, const TokenKeys& keys)
{
    Wire::SessionToken message;
    message.set_customer(token.customer);
    message.set_issued_at(token.issuedAt.count());
    for (const SessionEntry& entry : token.entries) {
        Wire::SessionEntry* added = message.add_entries();
        added->set_service(entry.service);
        added->set_term(entry.position.term);
        added->set_position(entry.position.position);
    }
    const std::string content = message.SerializeAsString();
    const TokenKey& key = keys.keys.front();
    return key.id + "." + Crypto::toBase64Url(Crypto::hmacSha256(key.secret, content) + content);
}

Model::Result<SessionToken> decodeToken(
    std::string_view text, const TokenKeys& keys, std::string_view customer)
{
    const std::size_t dot = text.find('.');
    if (text.size() > maxTokenSize || dot == std::string_view::npos)
        return makeError(ErrorCode::SessionTokenInvalid);
    const TokenKey* key = keys.find(text.substr(0, dot));
    if (!key)
        return makeError(ErrorCode::SessionTokenInvalid);
    const auto bytes = Crypto::fromBase64Url(text.substr(dot + 1));
    if (!bytes || bytes->size() < digestSize)
        return makeError(ErrorCode::SessionTokenInvalid);
    const std::string_view digest = std::string_view(*bytes).substr(0, digestSize);
    const std::string_view content = std::string_view(*bytes).substr(digestSize);
    Wire::SessionToken message;
    if (!Crypto::isEqualConstantTime(digest, Crypto::hmacSha256(key->secret, content))
        || !message.ParseFromArray(content.data(), static_cast<int>(content.size())))
        return makeError(ErrorCode::SessionTokenInvalid);
    if (message.customer() != customer)
        return makeError(ErrorCode::SessionTokenInvalid, "the session token belongs to another customer");
    SessionToken token { message.customer(), Model::UnixSeconds(message.issued_at()), {} };
    for (const Wire::SessionEntry& entry : message.entries())
        token.entries.push_back({ entry.service(), { entry.term(), entry.position() } });
    return token;
}

}
