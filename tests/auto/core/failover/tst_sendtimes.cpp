#include "core/failover/sendtimes.h"

#include <set>

#include <gtest/gtest.h>

using namespace Failover;
using namespace std::chrono_literals;
using Model::Time;

namespace {

/// Host `a` with incarnation 5 has sent message 1 at 100 ms of its clock.
SendTimes hostA()
{
    SendTimes times;
    times.setIncarnation(5);
    times.sent(1, Time { 100ms });
    return times;
}

}

// Guards against a message that was held up, by a partition or while the process was frozen, and then counts
// as evidence of the present.
TEST(SendTimes, BoundsAgeOfDelayedMessage)
{
    SendTimes times = hostA();
    EXPECT_FALSE(times.notSentBefore("b", 2, Time { 9000ms }));
    // The clock of `b` shows 9 s when it receives the message, at 100 ms or later.
    times.receiptArrived("b", 2, { "a", 5, 1, Time { 9000ms } });
    const auto sentAt = times.notSentBefore("b", 2, Time { 9500ms });
    ASSERT_TRUE(sentAt);
    EXPECT_LE(*sentAt, Time { 600ms });
    EXPECT_GE(*sentAt, Time { 599ms });
}

// Guards against a bound that is too late because the receipt was delayed: only an earlier bound is safe.
TEST(SendTimes, KeepsTheTightestBound)
{
    SendTimes times = hostA();
    times.receiptArrived("b", 2, { "a", 5, 1, Time { 9000ms } });
    times.sent(2, Time { 200ms });
    // Received 300 ms after it was sent.
    times.receiptArrived("b", 2, { "a", 5, 2, Time { 9400ms } });
    EXPECT_GE(*times.notSentBefore("b", 2, Time { 9500ms }), Time { 599ms });
}

// Guards against bounds from the clock or the sequence numbers of an earlier process.
TEST(SendTimes, IgnoresReceiptsOfOtherIncarnations)
{
    SendTimes times = hostA();
    times.receiptArrived("b", 2, { "a", 4, 1, Time { 9000ms } });
    EXPECT_FALSE(times.notSentBefore("b", 2, Time { 9500ms }));
    times.receiptArrived("b", 2, { "a", 5, 1, Time { 9000ms } });
    EXPECT_TRUE(times.notSentBefore("b", 2, Time { 9500ms }));
    times.received("b", 3, 1, Time { 300ms });
    EXPECT_FALSE(times.notSentBefore("b", 3, Time { 10ms }));
}

// Guards against hosts that never get a receipt, and against messages that grow with the fleet.
TEST(SendTimes, GivesReceiptsToNewHostsFirstAndThenInTurn)
{
    SendTimes times = hostA();
    for (const char* host : { "b", "c", "d" })
        times.received(host, 1, 7, Time { 120ms });
    EXPECT_EQ(times.takeReceipts().size(), 3U);
    times.received("e", 1, 7, Time { 130ms });
    std::set<std::string> senders;
    for (int i = 0; i < 4; ++i) {
        const auto receipts = times.takeReceipts();
        EXPECT_LE(receipts.size(), 2U);
        for (const Receipt& receipt : receipts)
            senders.insert(receipt.sender);
    }
    EXPECT_EQ(senders, (std::set<std::string> { "b", "c", "d", "e" }));
}
