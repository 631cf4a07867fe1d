#include "core/placement/linkhealth.h"

#include <gtest/gtest.h>

using namespace Placement;
using namespace std::chrono_literals;

namespace {

class LinkHealthTest : public testing::Test {
protected:
    void open()
    {
        m_health.connecting(m_now);
        m_health.connected(m_now);
    }

    Model::Time m_now { 100s };
    LinkHealth m_health;
};

}

// Guards against statements that are sent to a host that was killed or cut off without closing the
// connection.
TEST_F(LinkHealthTest, FindsSilentHost)
{
    open();
    m_health.setOutstanding(1);
    m_now += 100ms;
    ASSERT_TRUE(m_health.isPingDue(m_now));
    m_health.pinged(m_now);
    m_now += 190ms;
    EXPECT_TRUE(m_health.isUsable(m_now));
    m_now += 10ms;
    EXPECT_FALSE(m_health.isUsable(m_now));
    m_now += 400ms;
    EXPECT_FALSE(m_health.isUnresponsive(m_now));
    m_now += 100ms;
    EXPECT_TRUE(m_health.isUnresponsive(m_now));
}

// Guards against a host that is given up because it is slow to answer statements, although it is alive.
TEST_F(LinkHealthTest, AnyMessageShowsThatHostIsAlive)
{
    open();
    m_health.setOutstanding(1);
    for (int i = 0; i < 50; ++i) {
        m_now += 250ms;
        ASSERT_FALSE(m_health.isUnresponsive(m_now));
        if (m_health.isPingDue(m_now))
            m_health.pinged(m_now);
        m_now += 100ms;
        m_health.received(m_now);
    }
    EXPECT_TRUE(m_health.isUsable(m_now));
}

// Guards against a host that gives all others up because it was paused itself.
TEST_F(LinkHealthTest, OwnPauseIsNoSilenceOfOthers)
{
    open();
    m_now += 1s;
    m_health.pinged(m_now);
    m_now += 3s;
    m_health.processPaused(m_now);
    EXPECT_FALSE(m_health.isUnresponsive(m_now));
    m_now += 700ms;
    EXPECT_TRUE(m_health.isUnresponsive(m_now));
}

// Guards against sessions that move to a host and back each time that it comes and goes.
TEST_F(LinkHealthTest, ReturnedHostIsUsedAfterPause)
{
    open();
    EXPECT_TRUE(m_health.isUsable(m_now));
    m_health.lost(m_now);
    EXPECT_FALSE(m_health.shouldConnect(m_now));
    m_now += 300ms;
    ASSERT_TRUE(m_health.shouldConnect(m_now));
    open();
    EXPECT_FALSE(m_health.isUsable(m_now));
    m_now += 700ms;
    EXPECT_TRUE(m_health.isUsable(m_now));
}

// Guards against new operations on a host that is shutting down, or that declined one.
TEST_F(LinkHealthTest, AvoidsDrainingAndDecliningHosts)
{
    open();
    m_health.declined(m_now);
    EXPECT_FALSE(m_health.isUsable(m_now));
    m_now += 200ms;
    EXPECT_TRUE(m_health.isUsable(m_now));
    m_health.setDraining();
    EXPECT_FALSE(m_health.isUsable(m_now));
}

// Guards against a connection that is never opened because the other host has no power.
TEST_F(LinkHealthTest, GivesUpOpening)
{
    m_health.connecting(m_now);
    m_now += 700ms;
    EXPECT_TRUE(m_health.isUnresponsive(m_now));
}
