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

TEST(SessionToken, DecodesEncodedToken)
{
    const TokenKeys keys = deriveTokenKeys(fleetSecret, { "k1" });
    const auto token = decodeToken(encodeToken(sampleToken(), keys), keys, "acme");
    ASSERT_TRUE(token);
    EXPECT_EQ(token->positionOf("register"), (LogPosition { 3, 17 }));
    EXPECT_EQ(token->positionOf("other"), LogPosition {});
}

// Guards against a token that one customer uses to act in another one's session.
TEST(SessionToken, RejectsTokenOfAnotherCustomer)
{
    const TokenKeys keys = deriveTokenKeys(fleetSecret, { "k1" });
    const auto token = decodeToken(encodeToken(sampleToken(), keys), keys, "other");
    EXPECT_EQ(token.error().code, ErrorCode::SessionTokenInvalid);
}

// Guards against accepting a forged position: every changed character has to be noticed.
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

// Guards against sessions that break when the signing key is replaced.
TEST(SessionToken, AcceptsPreviousSigningKeyUntilRemoved)
{
    const std::string text = encodeToken(sampleToken(), deriveTokenKeys(fleetSecret, { "k1" }));
    EXPECT_TRUE(decodeToken(text, deriveTokenKeys(fleetSecret, { "k2", "k1" }), "acme"));
    EXPECT_FALSE(decodeToken(text, deriveTokenKeys(fleetSecret, { "k2" }), "acme"));
    EXPECT_FALSE(decodeToken(text, deriveTokenKeys("another fleet secret of enough size", { "k1" }), "acme"));
}

TEST(SessionToken, KeepsHighestPositionAndLimitsEntries)
{
    SessionToken token = sampleToken();
    token.record("register", LogPosition { 2, 99 });
    EXPECT_EQ(token.positionOf("register"), (LogPosition { 3, 17 }));
    for (int i = 0; i < 20; ++i)
        token.record("service-" + std::to_string(i), LogPosition { 1, 1 });
    EXPECT_EQ(token.entries.size(), SessionToken::maxEntries);
}
