#include "core/session/sessiontoken.h"

#include <gtest/gtest.h>

using namespace Session;
using Model::ErrorCode;
using Model::LogPosition;

namespace {

const std::string fleetSecret = "a fleet secret of enough characters";

SessionToken sampleToken()
{
    SessionToken token { "acme", Model::UnixSeconds(5), {} };
    token.record("register", LogPosition { 3, 17 });
    return token;
}

}

// Guards against a token that loses the position of a write. Reads of the session could miss the write.
TEST(SessionToken, DecodesEncodedToken)
{
    const TokenKeys keys = deriveTokenKeys(fleetSecret, { "k1" });
    const auto token = decodeToken(encodeToken(sampleToken(), keys), keys, "acme");
    ASSERT_TRUE(token);
    EXPECT_EQ(token->positionOf("register"), (LogPosition { 3, 17 }));
    EXPECT_EQ(token->positionOf("other"), LogPosition {});
}

// Guards against a customer that uses the session token of another customer.
TEST(SessionToken, RejectsTokenOfAnotherCustomer)
{
    const TokenKeys keys = deriveTokenKeys(fleetSecret, { "k1" });
    const auto token = decodeToken(encodeToken(sampleToken(), keys), keys, "other");
    EXPECT_EQ(token.error().code, ErrorCode::SessionTokenInvalid);
}

// Guards against accepting a token with a forged position. A token is rejected wherever a character is
// changed or the rest is cut off, and if it exceeds the size limit.
TEST(SessionToken, RejectsChangedOrTruncatedToken)
{
    const TokenKeys keys = deriveTokenKeys(fleetSecret, { "k1" });
    const std::string text = encodeToken(sampleToken(), keys);
    for (std::size_t i = 0; i + 1 < text.size(); ++i) {
        std::string changed = text;
        changed[i] = changed[i] == 'A' ? 'B' : 'A';
        EXPECT_FALSE(decodeToken(changed, keys, "acme")) << i;
        EXPECT_FALSE(decodeToken(std::string_view(text).substr(0, i), keys, "acme")) << i;
    }
    EXPECT_FALSE(decodeToken(std::string(5000, '1'), keys, "acme"));
}

// Guards against tokens that become invalid as soon as the signing key is replaced, and against accepting
// tokens that were signed with a removed key or with a key of another fleet secret.
TEST(SessionToken, AcceptsPreviousSigningKeyUntilRemoved)
{
    const std::string text = encodeToken(sampleToken(), deriveTokenKeys(fleetSecret, { "k1" }));
    EXPECT_TRUE(decodeToken(text, deriveTokenKeys(fleetSecret, { "k2", "k1" }), "acme"));
    EXPECT_FALSE(decodeToken(text, deriveTokenKeys(fleetSecret, { "k2" }), "acme"));
    EXPECT_FALSE(decodeToken(text, deriveTokenKeys("another fleet secret of enough size", { "k1" }), "acme"));
}

// Guards against a position that decreases, with which reads could miss a write of the session, and against a
// token that grows with each service.
TEST(SessionToken, KeepsHighestPositionAndLimitsEntries)
{
    SessionToken token = sampleToken();
    token.record("register", LogPosition { 2, 99 });
    EXPECT_EQ(token.positionOf("register"), (LogPosition { 3, 17 }));
    for (int i = 0; i < 20; ++i)
        token.record("service-" + std::to_string(i), LogPosition { 1, 1 });
    EXPECT_EQ(token.entries.size(), SessionToken::maxEntries);
}
