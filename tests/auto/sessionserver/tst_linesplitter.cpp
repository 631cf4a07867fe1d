#include "sessionserver/linesplitter.h"

#include <vector>

#include <gtest/gtest.h>

using SessionServer::LineSplitter;

namespace {

std::vector<std::string> split(LineSplitter& splitter, const std::vector<std::string>& parts)
{
    std::vector<std::string> result;
    for (const std::string& part : parts) {
        EXPECT_TRUE(splitter.feed(part, [&](std::string_view line) {
            result.emplace_back(line);
            return true;
        }));
    }
    return result;
}

}

// Guards against lost or joined messages when a line, or its CR LF, arrives in several reads.
TEST(LineSplitter, SplitsAtLineEndsAcrossReads)
{
    LineSplitter splitter(100);
    EXPECT_EQ(split(splitter, { "one\r\ntw", "o\r", "\nthree\r\n", "", "\r", "\n" }),
        (std::vector<std::string> { "one", "two", "three", "" }));
}

// Guards against a statement that is cut at a line feed in its data, so that the rest runs as another one.
TEST(LineSplitter, KeepsLineFeedsAndCarriageReturnsWithinLine)
{
    LineSplitter splitter(100);
    EXPECT_EQ(split(splitter, { "one\ntwo\r\n", "\nthree\r", "four\n\r\r", "\n" }),
        (std::vector<std::string> { "one\ntwo", "\nthree\rfour\n\r" }));
}

// Guards against a caller that exhausts the memory by sending a line without a line end.
TEST(LineSplitter, RejectsLineLongerThanLimit)
{
    LineSplitter splitter(10);
    const auto handle = [](std::string_view) { return true; };
    EXPECT_TRUE(splitter.feed("0123456789", handle));
    EXPECT_FALSE(splitter.feed("0", handle));
    LineSplitter otherSplitter(10);
    EXPECT_FALSE(otherSplitter.feed("01234567890\r\n", handle));
    LineSplitter longestLine(10);
    EXPECT_TRUE(longestLine.feed("0123456789\r", handle));
    EXPECT_TRUE(longestLine.feed("\n0123456789\r\n", handle));
    EXPECT_FALSE(longestLine.feed("0123456789\n\r\n", handle));
}

// Guards against handling the remaining lines of a read after one of them has closed the connection.
TEST(LineSplitter, StopsWhenHandlerReturnsFalse)
{
    LineSplitter splitter(100);
    int count = 0;
    EXPECT_TRUE(splitter.feed("a\r\nb\r\nc\r\n", [&](std::string_view) { return ++count < 2; }));
    EXPECT_EQ(count, 2);
}

// Guards against an incomplete line that occupies memory without being charged, or twice its greatest length.
TEST(LineSplitter, ReportsMemoryOfIncompleteLine)
{
    LineSplitter splitter(100000);
    const auto handle = [](std::string_view) { return true; };
    for (int i = 0; i < 99; ++i)
        EXPECT_TRUE(splitter.feed(std::string(1000, 'x'), handle));
    EXPECT_GE(splitter.heldBytes(), 99000U);
    EXPECT_LE(splitter.heldBytes(), 110000U);
    EXPECT_TRUE(splitter.feed("\r\n", handle));
    EXPECT_EQ(splitter.heldBytes(), 0U);
    EXPECT_TRUE(splitter.isEmpty());
}
