#include "platform/platformcalls.h"

#include "common/httpserver.h"

#include <gtest/gtest.h>

using namespace ProxyHost;

namespace {

/// A promoter that responds to each usage report with one status, and calls for it.
struct Fixture {
    int status = 200;
    bool isLost = false;
    Standins::HttpRequest last;
    Standins::HttpServer server { "127.0.0.1", 0,
        { [this](const Standins::HttpRequest& request) {
             last = request;
             return isLost ? Standins::lostResponse()
                           : Standins::jsonResponse(status, Standins::Json::object());
         },
            nullptr } };
    std::string address = "127.0.0.1:" + std::to_string(server.port());
    PlatformCalls calls = Adapter::platformCalls(address, address, std::make_shared<Adapter::StoreEpoch>());

    UsageReportResult report()
    {
        return calls.reportUsage({ 353445120, { { "acme", 412 }, { "beta", 1 } }, "host-3", 77 });
    }
};

}

// Guards against a report that the platform cannot read or attributes to another holder.
TEST(PlatformCalls, SendsUsageReportInTheDocumentedForm)
{
    Fixture fixture;
    EXPECT_EQ(fixture.report(), UsageReportResult::Accepted);
    EXPECT_EQ(fixture.last.method, "POST");
    EXPECT_EQ(fixture.last.path, "/usage");
    EXPECT_EQ(fixture.last.body, R"({"counts":{"acme":412,"beta":1},"windowId":353445120})");
    EXPECT_NE(fixture.last.headers.find("X-Duty-Holder: host-3"), std::string::npos);
    EXPECT_NE(fixture.last.headers.find("X-Fencing-Token: 77"), std::string::npos);
}

// Guards against a window without a statement whose counts are not an object.
TEST(PlatformCalls, SendsEmptyCountsAsObject)
{
    Fixture fixture;
    fixture.calls.reportUsage({ 5, {}, "host-3", 77 });
    EXPECT_EQ(fixture.last.body, R"({"counts":{},"windowId":5})");
}

// Guards against a report that counts as accepted although it may not be, and against a repetition with a
// token that the platform has refused.
TEST(PlatformCalls, DistinguishesOutcomesOfUsageReport)
{
    Fixture fixture;
    const std::map<int, UsageReportResult> expected { { 409, UsageReportResult::Refused },
        { 429, UsageReportResult::Unavailable }, { 500, UsageReportResult::Unknown },
        { 503, UsageReportResult::Unknown } };
    for (const auto& [status, result] : expected) {
        fixture.status = status;
        EXPECT_EQ(fixture.report(), result) << status;
    }
    fixture.isLost = true;
    EXPECT_EQ(fixture.report(), UsageReportResult::Unknown);
    const PlatformCalls unreachable
        = Adapter::platformCalls("127.0.0.1:1", "127.0.0.1:1", std::make_shared<Adapter::StoreEpoch>());
    EXPECT_EQ(unreachable.reportUsage({}), UsageReportResult::Unavailable);
}
