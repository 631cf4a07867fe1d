#include "core/proxy/connectionledger.h"

#include <gtest/gtest.h>

using namespace Proxy;
using namespace std::chrono_literals;
using Model::Time;

// Guards against hosts that together open more connections than an upstream accepts.
TEST(ConnectionLedger, KeepsSumOfGuaranteesWithinLimit)
{
    for (int limit = 9; limit < 60; ++limit) {
        ConnectionLedger ledger;
        ledger.setHostCount(9);
        EXPECT_LE(ledger.share("db", limit).guaranteed * 9, limit + 9);
        EXPECT_GE(ledger.share("db", limit).maximum, 1);
    }
}

// Guards against a host that counts connections as free which other hosts hold, so that upstreams refuse its
// connections (8,915 refusals in run trouble-2 of deployment tsh-approvals).
TEST(ConnectionLedger, SubtractsConnectionsReportedByOtherHosts)
{
    ConnectionLedger ledger;
    ledger.setHostCount(9);
    EXPECT_EQ(ledger.share("db", 16).maximum, 8);
    ledger.setOpen("other", { { ConnectionLedger::hashOf("db"), 6 } }, Time { 1s });
    EXPECT_EQ(ledger.share("db", 16).maximum, 3);
    ledger.setOpen("third", { { ConnectionLedger::hashOf("db"), 4 } }, Time { 1s });
    EXPECT_EQ(ledger.share("db", 16).maximum, 1);
    EXPECT_EQ(ledger.share("another", 16).maximum, 8);
}

// Guards against connections that stay counted as held after the host that reported them has failed.
TEST(ConnectionLedger, RemovesOldReports)
{
    ConnectionLedger ledger;
    ledger.setHostCount(9);
    ledger.setOpen("other", { { ConnectionLedger::hashOf("db"), 8 } }, Time { 1s });
    ledger.removeReportsBefore(Time { 500ms });
    EXPECT_EQ(ledger.share("db", 16).maximum, 1);
    ledger.removeReportsBefore(Time { 2s });
    EXPECT_EQ(ledger.share("db", 16).maximum, 8);
}

// Guards against a share of no connections, or a division by zero, before the first configuration or report.
TEST(ConnectionLedger, AllowsOneConnectionWithUnknownLimit)
{
    ConnectionLedger ledger;
    ledger.setHostCount(0);
    EXPECT_EQ(ledger.share("db", 0).maximum, 1);
}

// Guards against hosts that keep idle connections although there are fewer connections than hosts: with 76
// hosts, upstreams that accept 55 connections refused 810 (run quiet-1 of deployment tsh-approvals-grown).
TEST(ConnectionLedger, GuaranteesNoConnectionIfHostsOutnumberConnections)
{
    ConnectionLedger ledger;
    ledger.setHostCount(76);
    EXPECT_EQ(ledger.share("db", 55).guaranteed, 0);
    EXPECT_GE(ledger.share("db", 55).maximum, 1);
    ledger.setOpen("other", { { ConnectionLedger::hashOf("db"), 55 } }, Time { 1s });
    EXPECT_EQ(ledger.share("db", 55).maximum, 1);
}
