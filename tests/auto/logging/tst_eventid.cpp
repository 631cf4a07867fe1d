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

// Guards against a catalogue that names other events than the log does.
TEST(EventId, CatalogueMatchesTheTable)
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

// Guards against two events with one number, and against a table whose order hides a missing one.
TEST(EventId, NumbersRise)
{
    for (std::size_t i = 1; i < eventTable().size(); ++i)
        EXPECT_LT(eventTable()[i - 1].id, eventTable()[i].id);
}
