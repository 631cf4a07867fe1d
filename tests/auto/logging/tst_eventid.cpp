#include "../doctable.h"
#include "logging/eventid.h"

#include <gtest/gtest.h>

using namespace Logging;

namespace {

std::string severityName(Severity severity)
{
    return severity == Severity::Info ? "info" : severity == Severity::Warning ? "warning" : "error";
}

}

// Guards against documentation that lists other events, severities or meanings than the log has: both are
// changed by hand.
TEST(EventId, DocumentedEventsMatchTable)
{
    const auto rows = readDocTable("events.md");
    ASSERT_EQ(rows.size(), eventTable().size());
    for (std::size_t i = 0; i < rows.size(); ++i) {
        const EventInfo& info = eventTable()[i];
        ASSERT_EQ(rows[i].size(), 5U);
        EXPECT_EQ(rows[i][0], std::to_string(static_cast<int>(info.id)));
        EXPECT_EQ(rows[i][1], "`" + std::string(info.name) + "`");
        EXPECT_EQ(rows[i][2], severityName(info.severity));
        EXPECT_EQ(rows[i][3], info.description);
    }
}

// Guards against two events with the same number, and against an unordered table, in which a missing event is
// hard to see.
TEST(EventId, NumbersAreStrictlyAscending)
{
    for (std::size_t i = 1; i < eventTable().size(); ++i)
        EXPECT_LT(eventTable()[i - 1].id, eventTable()[i].id);
}
