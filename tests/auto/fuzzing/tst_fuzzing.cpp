#include "eventloop/loop.h"
#include "fuzz.h"
#include "platform/desiredstate.h"
#include "platform/wirecodec.h"
#include "proxyhost/fleet.h"
#include "proxyhost/rows.h"
#include "wire/hostreport.pb.h"

#include <cmath>

namespace {

constexpr std::uint64_t seeds = 30;

std::vector<std::string> corpus(const std::string& name)
{
    return Fuzz::readCorpus(std::string(FUZZ_CORPUS) + "/" + name);
}

const SessionServer::Codec codec = Adapter::wireCodec();

/// A fleet that records what reports have set.
struct FleetFixture {
    EventLoop::Loop loop;
    Allowance::FleetAllowance allowance { "host-0" };
    Proxy::ConnectionLedger ledger;
    ProxyHost::Fleet fleet { loop, "host-0", allowance, ledger, hooks() };

    static ProxyHost::Fleet::Hooks hooks()
    {
        ProxyHost::Fleet::Hooks result;
        result.healthObserved = [](const std::string&, const Failover::HealthObservation&) {};
        result.hostReported = [](const std::string&, bool) {};
        result.changeReported = [](ProxyHost::StoreTable, std::uint64_t) {};
        result.fencesReported = [](const std::string&, std::uint64_t, std::uint64_t,
                                    const ProxyHost::FenceReport&, Model::Time) {};
        return result;
    }
};

std::vector<std::string> reports()
{
    Wire::HostReport report;
    report.set_host("host-1");
    report.set_incarnation(3);
    report.set_sequence(17);
    Wire::CustomerUsage& usage = *report.add_usage();
    usage.set_customer("acme");
    usage.set_admitted(1093);
    usage.set_demand(12.5F);
    usage.set_available(40);
    report.add_primaries()->set_service("ledger");
    Wire::ConnectionUse& use = *report.add_connections();
    use.set_upstream(Proxy::ConnectionLedger::hashOf("db-0"));
    use.set_open(5);
    report.set_sent_at_us(123456789);
    report.add_receipts()->set_sender("host-0");
    report.add_allowed_primaries()->set_service("ledger");
    return { report.SerializeAsString(), std::string("\x0a\x06host-2") };
}

std::vector<std::string> counts()
{
    Wire::CustomerCounts message;
    message.set_host("host-1");
    message.set_incarnation(3);
    Wire::CustomerCount& count = *message.add_counts();
    count.set_customer("acme");
    count.set_admitted(1093);
    count.set_recent(4);
    Wire::CustomerBalance& balance = *message.add_balances();
    balance.set_customer("acme");
    balance.set_available(-3);
    return { message.SerializeAsString() };
}

}

// Guards against a caller's line that crashes the parser, or is passed on as more than one line.
TEST(Fuzzing, CallersLines)
{
    Fuzz::run(corpus("callers"), seeds, [](const std::string& line) {
        const SessionServer::CallerMessage message = codec.parseCaller(line);
        if (message.kind != SessionServer::CallerMessageKind::Statement
            || message.statement.kind == Proxy::StatementKind::Malformed)
            return;
        std::string out;
        codec.encodeCommand(out, { Proxy::CommandKind::Statement, message.statement });
        EXPECT_LE(out.size(), line.size() + 2);
    });
}

// Guards against an upstream's line that crashes the parser.
TEST(Fuzzing, UpstreamsLines)
{
    Fuzz::run(corpus("upstreams"), seeds, [](const std::string& line) { codec.parseUpstream(line); });
    Fuzz::run(corpus("status"), seeds, [](const std::string& row) { codec.parseStatus(row); });
}

// Guards against an entry of the store that crashes the parser, and against one whose values are out of range
// but accepted.
TEST(Fuzzing, RowsOfStore)
{
    Fuzz::run(corpus("upstreamrows"), seeds, [](const std::string& row) {
        const auto upstream = Adapter::parseUpstream("db-0", row);
        if (!upstream)
            return;
        EXPECT_GE(upstream->slots, 1) << row;
        EXPECT_GE(upstream->coldFor.count(), 0) << row;
        EXPECT_FALSE(upstream->service.empty()) << row;
    });
    Fuzz::run(corpus("hostrows"), seeds, [](const std::string& row) { ProxyHost::parseHostRow(row); });
    Fuzz::run(
        corpus("leaserows"), seeds, [](const std::string& row) { ProxyHost::parsePromotionLeaseRow(row); });
}

// Guards against a configuration that crashes the parser, or with times and rates that no arithmetic
// survives.
TEST(Fuzzing, Configurations)
{
    Fuzz::run(corpus("configurations"), seeds, [](const std::string& text) {
        const auto configuration = Adapter::parseConfiguration(text);
        if (!configuration) {
            EXPECT_FALSE(configuration.error().message.empty()) << text;
            return;
        }
        for (const Directory::Route& route : (*configuration)->routes) {
            EXPECT_GE(route.statementTimeout.count(), 0) << text;
            EXPECT_GE(route.targetLatency.count(), 0) << text;
            EXPECT_GE(route.maxStaleness.count(), 0) << text;
        }
        for (const auto& [name, customer] : (*configuration)->customers) {
            EXPECT_TRUE(std::isfinite(customer.rate) && customer.rate >= 0) << text;
            EXPECT_TRUE(std::isfinite(customer.burst) && customer.burst >= 0) << text;
        }
    });
}

// Guards against a message of another host that crashes this one, or makes it believe in connections that
// cannot exist.
TEST(Fuzzing, MessagesBetweenHosts)
{
    FleetFixture fixture;
    fixture.ledger.setHostCount(2);
    Fuzz::run(reports(), seeds, [&](const std::string& message) {
        fixture.fleet.receive(message);
        const Proxy::ConnectionShare share = fixture.ledger.share("db-0", 40);
        EXPECT_GE(share.maximum, 1);
        EXPECT_LE(share.maximum, 40);
    });
    Fuzz::run(counts(), seeds, [&](const std::string& message) { fixture.fleet.receiveCounts(message); });
}
