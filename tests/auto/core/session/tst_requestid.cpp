#include "core/session/requestid.h"

#include <gtest/gtest.h>

using namespace Session;
using Model::ErrorCode;
using Model::UnixSeconds;

// Guards against accepting a repeated request after the upstreams have discarded its id. It would run twice.
TEST(RequestId, AcceptsOnlyIdsWithinRetentionWindow)
{
    const UnixSeconds now(10000);
    EXPECT_TRUE(checkRequestId("10000-a", now));
    EXPECT_TRUE(checkRequestId("9460-a", now));
    EXPECT_EQ(checkRequestId("9459-a", now).error().code, ErrorCode::RequestIdExpired);
    EXPECT_TRUE(checkRequestId("10060-a", now));
    EXPECT_EQ(checkRequestId("10061-a", now).error().code, ErrorCode::RequestIdExpired);
}

// Guards against accepting an id whose time cannot be read: the retention window could not be checked. Also
// guards against blanks, control characters and ids above the size limit.
TEST(RequestId, RejectsMalformedIds)
{
    for (const char* id :
        { "", "-", "12", "12-", "x-a", "-5-a", "12-a b", "12-\x01", "99999999999999999999-a" })
        EXPECT_EQ(checkRequestId(id, UnixSeconds(12)).error().code, ErrorCode::InvalidRequest) << id;
    EXPECT_FALSE(checkRequestId("12-" + std::string(200, 'a'), UnixSeconds(12)));
}
