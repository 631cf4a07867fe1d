#include "../../doctable.h"
#include "core/model/errorcode.h"
#include "core/model/result.h"

#include <gtest/gtest.h>

using namespace Model;

// Guards against a row in the wrong place of the table. errorInfo() finds rows by the value of the code, so
// the error would be reported with the name, status and outcome of another one.
TEST(ErrorCode, TableIsInOrderOfEnumerators)
{
    int value = 1;
    for (const ErrorInfo& info : errorTable()) {
        EXPECT_EQ(static_cast<int>(info.code), value++);
        EXPECT_EQ(errorCodeFromName(info.name), info.code);
    }
}

// Guards against an error that reports `not_run` although the request may have run. Its caller may send the
// request again, which would then run twice.
TEST(ErrorCode, OnlyUnknownErrorsReportAnUnknownOutcome)
{
    for (const ErrorInfo& info : errorTable()) {
        const bool isUnknown
            = info.code == ErrorCode::OutcomeUnknown || info.code == ErrorCode::PublishUnknown;
        EXPECT_EQ(info.outcome, isUnknown ? Outcome::Unknown : Outcome::NotRun) << info.name;
    }
}

// Guards against an error without a message, which would reach the caller or operator as an empty text.
TEST(ErrorCode, MessageDefaultsToDescription)
{
    const Result<int> result = makeError(ErrorCode::RateLimited);
    EXPECT_EQ(result.error().code, ErrorCode::RateLimited);
    EXPECT_EQ(result.error().message, result.error().code.message());
}

// Guards against a page that lists other codes, statuses, outcomes or messages than callers receive.
TEST(ErrorCode, DocumentationMatchesTable)
{
    const auto rows = readDocTable("errors.md");
    ASSERT_EQ(rows.size(), errorTable().size());
    for (std::size_t i = 0; i < rows.size(); ++i) {
        const ErrorInfo& info = errorTable()[i];
        ASSERT_EQ(rows[i].size(), 5U);
        EXPECT_EQ(rows[i][0], "`" + std::string(info.name) + "`");
        EXPECT_EQ(rows[i][1], std::to_string(info.httpStatus));
        EXPECT_EQ(rows[i][2], outcomeName(info.outcome));
        EXPECT_EQ(rows[i][3], info.description);
    }
}
