#include "core/model/errorcode.h"
#include "core/model/result.h"

#include <gtest/gtest.h>

using namespace Model;

// Guards against a table row that stands in another place than its enumerator.
TEST(ErrorCode, TableFollowsTheEnumeration)
{
    int value = 1;
    for (const ErrorInfo& info : errorTable()) {
        EXPECT_EQ(static_cast<int>(info.code), value++);
        EXPECT_EQ(errorCodeFromName(info.name), info.code);
    }
}

// Guards against an error that claims "not run" although the request may have run.
TEST(ErrorCode, OnlyUnknownErrorsReportAnUnknownOutcome)
{
    for (const ErrorInfo& info : errorTable()) {
        const bool isUnknown
            = info.code == ErrorCode::OutcomeUnknown || info.code == ErrorCode::PublishUnknown;
        EXPECT_EQ(info.outcome, isUnknown ? Outcome::Unknown : Outcome::NotRun) << info.name;
    }
}

TEST(ErrorCode, ErrorCarriesTheDescriptionByDefault)
{
    const Result<int> result = makeError(ErrorCode::RateLimited);
    EXPECT_EQ(result.error().code, ErrorCode::RateLimited);
    EXPECT_EQ(result.error().message, result.error().code.message());
}
