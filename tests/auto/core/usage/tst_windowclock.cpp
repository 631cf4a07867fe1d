#include "core/usage/windowclock.h"

#include <gtest/gtest.h>

using namespace Usage;
using namespace std::chrono_literals;

namespace {

Model::Time at(Model::Duration time) { return Model::Time(time); }

}

// Guards against windows that begin at another time than multiples of their length since 1970.
TEST(WindowClock, WindowsBeginAtMultiplesOfTheirLength)
{
    WindowClock clock(5s);
    EXPECT_FALSE(clock.isKnown());
    clock.setOwn(1767225601s, at(100s));
    clock.update(at(100s));
    EXPECT_EQ(clock.windowAt(at(100s)), 353445120U);
    EXPECT_EQ(clock.startOf(353445120), at(99s));
    EXPECT_EQ(clock.endOf(353445120), at(104s));
}

// Guards against a host that follows one wrong clock, be it its own or another one's.
TEST(WindowClock, IgnoresSingleWrongClock)
{
    WindowClock clock(5s);
    clock.setOwn(1003s, at(0s));
    clock.observe("a", 1000s, at(0s));
    clock.observe("b", 1000s, at(0s));
    clock.update(at(0s));
    EXPECT_EQ(clock.startOf(200), at(0s));
    clock.setOwn(1000s, at(0s));
    clock.observe("a", 1030s, at(0s));
    clock.update(at(0s));
    EXPECT_EQ(clock.startOf(200), at(0s));
}

// Guards against a clock that is set back by messages that waited while this host was frozen.
TEST(WindowClock, IgnoresMessagesThatWaited)
{
    WindowClock clock(5s);
    for (const char* host : { "a", "b", "c" })
        clock.observe(host, 1000s, at(0s));
    for (const char* host : { "a", "b", "c" })
        clock.observe(host, 1001s, at(8s));
    clock.update(at(8s));
    EXPECT_EQ(clock.startOf(200), at(0s));
}
