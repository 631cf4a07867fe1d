#include "core/membership/gossip.h"
#include "core/membership/hostlease.h"
#include "core/membership/leaseobserver.h"
#include "core/membership/ownership.h"
#include "core/membership/timing.h"

#include <algorithm>

#include <gtest/gtest.h>

using namespace Membership;
using Model::Time;
using namespace std::chrono_literals;

namespace {

constexpr Time start { 1h };
constexpr std::uint64_t firstIncarnation = std::uint64_t { 1'000'000 } << 16;
const Roster threeHosts { 1, { "a", "b", "c" }, {} };

MemberUpdate updateAbout(const std::string& name, std::uint64_t incarnation = firstIncarnation)
{
    return { name, name + ":7000", "zone-1", incarnation, 0, MemberState::Alive };
}

struct Host {
    explicit Host(const std::string& name)
        : contact(name)
        , gossip({ name, name + ":7000", "zone-1", firstIncarnation }, start, contact)
    {
    }

    auto receive(
        const Body& body, Time now = start, const std::string& sender = "b", std::uint64_t request = 99)
    {
        return gossip.handle({ sender, firstIncarnation, request, body }, now, generator);
    }
    Payload contactPayload(Time now) const
    {
        Payload payload;
        contact.fillPayload(payload, now);
        contact.fillRound(payload, now);
        return payload;
    }
    std::vector<MemberEventKind> eventsOf(const MemberUpdate& update, Time now = start)
    {
        std::vector<MemberEventKind> kinds;
        const auto output = receive(Ping { { .updates = { update } } }, now);
        for (const MemberEvent& event : output->events)
            kinds.push_back(event.kind);
        return kinds;
    }

    ContactTracker contact;
    Gossip gossip;
    Gossip::Generator generator { 1 };
};

/// Runs a contact round among `hosts` at `now`, with messages that arrive without delay.
void runRound(std::vector<ContactTracker*> hosts, Time now)
{
    Gossip::Generator generator { 1 };
    hosts.front()->requestRounds(now + 1ms);
    hosts.front()->startRoundIfNeeded(now, generator);
    for (std::size_t i = 0; i < 2 * hosts.size(); ++i) {
        for (ContactTracker* from : hosts) {
            Payload payload;
            from->fillPayload(payload, now);
            from->fillRound(payload, now);
            for (ContactTracker* to : hosts)
                to->merge(payload, now, now);
        }
    }
}

}

// Guards against malformed or implausible messages of a faulty peer that change the state of this host, for
// example an incarnation or a version so high that no later one can supersede it.
TEST(Validation, InvalidMessageChangesNoState)
{
    const auto withUpdate = [](auto change) {
        MemberUpdate update = updateAbout("c");
        change(update);
        return Body(Ping { { .updates = { updateAbout("d"), update } } });
    };
    const auto withAck = [](auto change) {
        Ack ack { "b",
            { .updates = { updateAbout("d") },
                .catalogVersion = 5,
                .rosterVersion = 3,
                .storeSuccessAge = 1s } };
        ack.payload.roundId = std::uint64_t { 7 } << 32;
        ack.payload.round = RoundReport { ack.payload.roundId, 1s, 2s, 3, {} };
        change(ack.payload);
        return Body(ack);
    };
    const std::vector<Body> bodies {
        withUpdate([](MemberUpdate& update) { update.incarnation += std::uint64_t { 7'200'000 } << 16; }),
        withUpdate([](MemberUpdate& update) { update.incarnation = 0; }),
        withUpdate([](MemberUpdate& update) { update.refutation = 1U << 30; }),
        withUpdate([](MemberUpdate& update) { update.state = static_cast<MemberState>(9); }),
        withUpdate([](MemberUpdate& update) { update.name.clear(); }),
        withUpdate([](MemberUpdate& update) { update.address.assign(1000, 'x'); }),
        Ping { { .updates = std::vector<MemberUpdate>(maxUpdates + 1, updateAbout("d")) } },
        PingRequest { "", "", {} },
        Ack { "", {} },
        withAck([](Payload& payload) { payload.storeSuccessAge = -1s; }),
        withAck([](Payload& payload) { payload.storeSuccessAge = 24h * 365; }),
        withAck([](Payload& payload) { payload.storeSuccessAge = 3s; }),
        withAck([](Payload& payload) { payload.round->age = -1s; }),
        withAck([](Payload& payload) { payload.round->rosterVersion = 4; }),
        withAck([](Payload& payload) { payload.roundId = payload.round->id = ~std::uint64_t { 0 }; }),
        withAck([](Payload& payload) { payload.rosterVersion = 1U << 31; }),
        withAck([](Payload& payload) { payload.catalogVersion = 1U << 31; }),
        Ping { std::get<Ack>(withAck([](Payload&) {})).payload },
    };
    for (const Body& body : bodies) {
        Host host("a");
        host.contact.setRoster(threeHosts, start - 20s, RosterSource::Store);
        host.contact.catalogVersionInForce(4);
        host.gossip.setLiveHosts({ { "b", "b:7000", "zone-1" } }, start);
        const auto requests = host.gossip.tick(start, host.generator).messages;
        ASSERT_EQ(requests.size(), 2U);
        const std::size_t membersBefore = host.gossip.members().size();
        const std::uint64_t roundBefore = host.contact.roundId();
        EXPECT_FALSE(host.receive(body, start, "b", requests.front().request))
            << "case " << &body - bodies.data();
        EXPECT_EQ(host.gossip.members().size(), membersBefore);
        EXPECT_EQ(host.contact.newestStoreSuccess(), start - 20s);
        EXPECT_EQ(host.contact.roundId(), roundBefore);
    }
}

// Guards against evidence of store contact that appears newer than it is because the message that carried it
// was delayed. The age counts from the time at which the ping was sent, so pings, late acknowledgements and
// acknowledgements from other hosts are no evidence.
TEST(Evidence, AgeCountsFromPingSendTimeAndOnlyInMatchingAck)
{
    const Payload payload { .storeSuccessAge = 2s };
    const auto newestAfter = [&](const Body& body, Model::Duration delay, const std::string& sender) {
        Host host("a");
        host.gossip.setLiveHosts({ { "b", "b:7000", "zone-1" } }, start);
        const std::uint64_t request = host.gossip.tick(start, host.generator).messages.front().request;
        host.receive(body, start + delay, sender, request);
        return host.contact.newestStoreSuccess();
    };
    EXPECT_EQ(newestAfter(Ack { "b", payload }, 900ms, "b"), start - 2s);
    EXPECT_EQ(newestAfter(Ack { "b", payload }, 1100ms, "b"), std::nullopt);
    EXPECT_EQ(newestAfter(Ack { "c", payload }, 1ms, "b"), std::nullopt);
    EXPECT_EQ(newestAfter(Ack { "b", payload }, 1ms, "c"), std::nullopt);
    EXPECT_EQ(newestAfter(Ping { payload }, 1ms, "b"), std::nullopt);
}

// Guards against the use of a superseded catalogue: a key may have been withdrawn or a zone taken out of
// service since.
TEST(Contact, IsolatedTenSecondsAfterNewerCatalogueIsKnown)
{
    Host host("a");
    host.receive(Ping { { .catalogVersion = 8 } });
    host.contact.storeSucceeded(start + 9s);
    EXPECT_EQ(host.contact.state(start + 10s), ContactState::Connected);
    EXPECT_EQ(host.contact.state(start + 11s), ContactState::Isolated);
    host.contact.catalogVersionInForce(8);
    EXPECT_EQ(host.contact.state(start + 11s), ContactState::Connected);
    const auto announcement = host.receive(Ping { { .catalogVersion = 9 } })->versionAnnouncement;
    EXPECT_TRUE(announcement && announcement->peer == "b" && announcement->version == 9);
}

// Guards against two majorities that have no host in common while the roster changes.
TEST(Contact, RoundRequiresMajoritiesOfNewestAndPreviousRoster)
{
    ContactTracker a("a"), b("b"), d("d"), e("e");
    const Roster next { 2, { "a", "b", "d", "e" }, { "a", "b", "c" } };
    for (ContactTracker* host : { &a, &b, &d, &e })
        host->setRoster(next, start - 20s, RosterSource::Store);
    runRound({ &a, &d, &e }, start);
    EXPECT_EQ(a.state(start), ContactState::Isolated) << "no majority of the previous names";
    runRound({ &a, &b, &d }, start + 5s);
    EXPECT_EQ(a.state(start + 5s), ContactState::StoreOutage);
    EXPECT_EQ(a.state(start + 13s), ContactState::Isolated) << "the round is too old";

    ContactTracker outdated("a"), other("b"), newer("c");
    outdated.setRoster(threeHosts, start - 20s, RosterSource::Store);
    for (ContactTracker* host : { &other, &newer })
        host->setRoster({ 2, { "a", "b", "c", "d" }, { "a", "b", "c" } }, start - 20s, RosterSource::Store);
    runRound({ &newer, &outdated, &other }, start);
    EXPECT_EQ(outdated.state(start), ContactState::Isolated) << "a newer roster is known";
    EXPECT_EQ(outdated.newestRosterVersion(), 2U);
}

// Guards against a restarted process that counts towards a majority although it lacks information that the
// earlier incarnation had when it took part in a round.
TEST(Contact, ProcessCountsInRoundsOnlyAfterReadingRosterFromStore)
{
    ContactTracker a("a"), restarted("b"), c("c");
    a.setRoster(threeHosts, start - 20s, RosterSource::Store);
    restarted.setRoster(threeHosts, start - 20s, RosterSource::Peer);
    runRound({ &a, &restarted }, start);
    EXPECT_EQ(a.state(start), ContactState::Isolated);
    restarted.setRoster(threeHosts, start - 20s, RosterSource::Store);
    runRound({ &a, &restarted }, start + 5s);
    EXPECT_EQ(a.state(start + 5s), ContactState::StoreOutage);
}

// Guards against a roster that is replaced before a majority knows its current version.
TEST(Contact, RosterChangeRequiresMajorityThatKnowsCurrentVersion)
{
    ContactTracker a("a"), b("b");
    a.setRoster(threeHosts, start, RosterSource::Store);
    EXPECT_FALSE(a.rosterChangeAllowed(start));
    b.setRoster(threeHosts, start, RosterSource::Store);
    runRound({ &a, &b }, start);
    EXPECT_TRUE(a.rosterChangeAllowed(start + 1s));
    EXPECT_FALSE(a.rosterChangeAllowed(start + 10s)) << "no longer connected";
    a.setRoster({ 2, { "a", "b", "c", "d" }, threeHosts.names }, start, RosterSource::Store);
    EXPECT_FALSE(a.rosterChangeAllowed(start + 1s));
}

// Guards against a roster that loses hosts because of an incomplete membership view, and against conflicts of
// several members that replace the roster at the same time.
TEST(Roster, OneMemberAddsLiveHostsAndRemovesUnknownNames)
{
    std::vector<Member> members(3);
    for (std::size_t i = 0; i < members.size(); ++i)
        static_cast<MemberUpdate&>(members[i]) = updateAbout(std::string(1, static_cast<char>('a' + i)));
    const Roster current { 4, { "a", "b", "x" }, {} };
    std::vector<Roster> proposals;
    for (const Member& member : members) {
        if (const auto next = nextRoster(current, members, member.name))
            proposals.push_back(*next);
    }
    ASSERT_EQ(proposals.size(), 1U);
    EXPECT_EQ(proposals[0].names, threeHosts.names);
    EXPECT_EQ(proposals[0].previousNames, current.names);
    members.resize(1);
    EXPECT_FALSE(nextRoster(current, members, "a"));
}

// Guards against a host that serves slots after its lease has lapsed, also if the process was paused, or that
// keeps its slots when it renews a lapsed lease. Another host may have taken them over by then.
TEST(HostLease, ServesForTwentyFiveSecondsFromStartOfRenewal)
{
    ContactTracker contact("a");
    HostLease lease;
    EXPECT_TRUE(lease.renewalDue(start));
    EXPECT_FALSE(lease.mayServe(start, contact));
    lease.renewalStarted(start);
    EXPECT_FALSE(lease.renewalDue(start + 3s));
    lease.renewalSucceeded(start, start + 3s, contact);
    EXPECT_FALSE(lease.renewalDue(start + 9s));
    EXPECT_TRUE(lease.renewalDue(start + 10s));
    EXPECT_TRUE(lease.mayServe(start + 24s, contact));
    EXPECT_FALSE(lease.mayServe(start + 25s, contact));
    lease.renewalSucceeded(start + 20s, start + 24s, contact);
    EXPECT_EQ(lease.generation(), 1U);
    lease.renewalSucceeded(start + 44s, start + 46s, contact);
    EXPECT_EQ(lease.generation(), 2U) << "the lease had lapsed at 45 s";
    lease.superseded();
    EXPECT_FALSE(lease.mayServe(start + 47s, contact));
}

// Guards against a takeover while the holder may still serve the slot: because a majority does not yet know
// of a store success that ends the holder's service, or because the rows were changed after they were read.
TEST(LeaseObserver, AllowsTakeoverAfterThirtySecondsIfMajorityKnowsLaterSuccess)
{
    const auto allowed = [](Model::Duration gapAt, Model::Duration roundAt, Model::Duration slotReadAt,
                             Model::Duration now, std::uint64_t knownIncarnation = 5) {
        ContactTracker contact("a"), other("b");
        LeaseObserver observer;
        for (Model::Duration at = 0s; at <= now; at += 2s) {
            if (at != gapAt && at != gapAt + 2s)
                observer.observed({ 5, 1 }, start + at, start + at + 10ms);
            contact.setRoster(threeHosts, start + at, RosterSource::Store);
            other.setRoster(threeHosts, start + at, RosterSource::Store);
            if (at == roundAt)
                runRound({ &contact, &other }, start + at);
        }
        return observer.takeoverAllowed({ 5, start + slotReadAt, knownIncarnation }, start + now, contact);
    };
    EXPECT_TRUE(allowed(-10s, 18s, 20s, 32s));
    EXPECT_FALSE(allowed(-10s, 18s, 20s, 30s)) << "observed for less than 30 s";
    EXPECT_FALSE(allowed(-10s, 16s, 20s, 32s)) << "the majority knows only of earlier successes";
    EXPECT_FALSE(allowed(-10s, 24s, 20s, 32s)) << "the majority has known for less than 9 s";
    EXPECT_FALSE(allowed(34s, 24s, 20s, 36s)) << "the majority had known for less than 9 s at the last read";
    EXPECT_FALSE(allowed(10s, 18s, 20s, 32s)) << "a gap in the observation";
    EXPECT_FALSE(allowed(-10s, 18s, 33s, 32s)) << "the slot's row was read after the lease row";
    EXPECT_TRUE(allowed(-10s, 60s, 0s, 4s, 6)) << "the holder's process has ended";
    EXPECT_FALSE(LeaseObserver().takeoverAllowed({ 5, start, 6 }, start, ContactTracker("a")))
        << "not connected";
}

// Guards against information about an earlier incarnation that replaces newer information, and against
// restarts that are not reported.
TEST(Gossip, NewerIncarnationReplacesTheOlderOne)
{
    Host host("a");
    MemberUpdate update = updateAbout("c");
    EXPECT_EQ(host.eventsOf(update), std::vector { MemberEventKind::Joined });
    update.state = MemberState::Dead;
    EXPECT_EQ(host.eventsOf(update), std::vector { MemberEventKind::Died });
    update.state = MemberState::Alive;
    EXPECT_TRUE(host.eventsOf(update).empty());
    update.refutation = 1;
    EXPECT_EQ(host.eventsOf(update), std::vector { MemberEventKind::Recovered });
    update = updateAbout("c", firstIncarnation + 1);
    EXPECT_EQ(host.eventsOf(update), std::vector { MemberEventKind::Restarted });
    EXPECT_TRUE(host.eventsOf(updateAbout("c")).empty());
    EXPECT_EQ(
        host.eventsOf(updateAbout("a", firstIncarnation + 1)), std::vector { MemberEventKind::Superseded });
}

// Guards against a dead member that is never removed, and against one that is removed too early (while it is
// listed, or because the live-host list is empty), so that a late update adds it again as live.
TEST(Gossip, RemovesDeadMemberMissingFromLiveHostList)
{
    Host host("a");
    MemberUpdate update = updateAbout("c");
    update.state = MemberState::Dead;
    host.eventsOf(update);
    host.gossip.setLiveHosts({ { "c", "c:7000", "zone-1" } }, start);
    const auto isKnownAt = [&](Model::Duration after) {
        host.gossip.tick(start + after, host.generator);
        return host.gossip.members().contains("c");
    };
    EXPECT_TRUE(isKnownAt(100s));
    host.gossip.setLiveHosts({}, start + 100s);
    EXPECT_TRUE(isKnownAt(102s)) << "an empty list must be ignored";
    host.gossip.setLiveHosts({ { "b", "b:7000", "zone-1" } }, start + 103s);
    EXPECT_FALSE(isKnownAt(105s));
}

// Guards against a caller that waits for the next regular probe before an unresponsive member is detected.
TEST(Gossip, ProbeNowSendsAPingAtOnce)
{
    Host host("a");
    host.eventsOf(updateAbout("c"));
    const auto output = host.gossip.probeNow("c", start, host.generator);
    ASSERT_EQ(output.messages.size(), 1U);
    EXPECT_EQ(output.messages[0].address, "c:7000");
    EXPECT_TRUE(host.gossip.probeNow("c", start, host.generator).messages.empty());
    for (Model::Duration after = 0s; after <= 3100ms; after += 100ms)
        host.gossip.tick(start + after, host.generator);
    EXPECT_FALSE(host.gossip.members().find("c")->second.isLive());
}

// Guards against live members that are suspected and presumed dead after this process was paused: it could
// not receive their acknowledgements.
TEST(Gossip, PauseOfThisProcessCausesNoSuspicion)
{
    Host host("a");
    host.eventsOf(updateAbout("c"));
    host.gossip.tick(start, host.generator);
    host.gossip.tick(start + 10s, host.generator);
    EXPECT_EQ(host.gossip.members().find("c")->second.state, MemberState::Alive);
}

// Guards against the suspicion of a member that is unreachable only for this host.
TEST(Gossip, IndirectProbeConfirmsAMember)
{
    Host host("a");
    host.eventsOf(updateAbout("b"));
    host.eventsOf(updateAbout("c"));
    host.gossip.probeNow("c", start, host.generator);
    std::uint64_t request = 0;
    for (Model::Duration after = 100ms; after <= 900ms; after += 100ms) {
        for (const OutgoingMessage& message : host.gossip.tick(start + after, host.generator).messages) {
            const auto* indirect = std::get_if<PingRequest>(&message.body);
            if (indirect && indirect->targetName == "c")
                request = message.request;
        }
    }
    ASSERT_NE(request, 0U);
    EXPECT_TRUE(host.receive(Ack { "c", {} }, start + 900ms, "b", request));
    host.gossip.tick(start + 1s, host.generator);
    EXPECT_EQ(host.gossip.members().find("c")->second.state, MemberState::Alive);
}

// Guards against a member that is not notified of a suspicion and cannot refute it, and a peer that is
// never notified of a member's death, after all regular transmissions of these updates were lost.
TEST(Gossip, AckCorrectsOutdatedStateOfReceiver)
{
    Host host("a");
    const auto learn = [&](const std::string& name, MemberState state) {
        MemberUpdate update = updateAbout(name);
        update.state = state;
        host.eventsOf(update);
    };
    const auto replyHas = [&](const Payload& payload, const std::string& sender, const std::string& name) {
        for (int i = 0; i < 100; ++i)
            host.receive(Ping {}); // Exhausts the retransmissions.
        const auto output = host.receive(Ping { payload }, start, sender);
        return std::ranges::any_of(
            payloadOf(output->messages.front().body).updates, [&](const MemberUpdate& update) {
                return update.name == name && update.state != MemberState::Alive;
            });
    };
    learn("c", MemberState::Dead);
    learn("d", MemberState::Dead);
    learn("e", MemberState::Suspect);
    for (const std::string name : { "f", "g", "h", "i", "j", "k" })
        learn(name, MemberState::Alive);
    for (int i = 0; i < 10; ++i) {
        EXPECT_TRUE(replyHas({}, "e", "e"));
        for (const std::string name : { "c", "d" })
            EXPECT_TRUE(replyHas({ .updates = { updateAbout(name) } }, "b", name));
    }
}

// Guards against updates that are retransmitted without limit, and against older updates that prevent newer
// ones from being sent.
TEST(UpdateQueue, FewestTransmissionsFirstUpToTheLimit)
{
    UpdateQueue queue;
    queue.add("a");
    queue.add("b");
    EXPECT_EQ(queue.take(1, 2), std::vector<std::string> { "a" });
    EXPECT_EQ(queue.take(1, 2), std::vector<std::string> { "b" });
    EXPECT_EQ(queue.take(9, 2).size(), 2U);
    EXPECT_TRUE(queue.empty());
}

// Guards against owners far from the upstreams although closer hosts are live, and against owners that are
// leaving or in a zone out of service.
TEST(Ownership, PrefersZonesOfUpstreamsThenTheirRegion)
{
    const std::vector<Zone> zones { { "z1", "east", ZoneState::In }, { "z2", "east", ZoneState::In },
        { "z3", "west", ZoneState::In }, { "z4", "east", ZoneState::Out } };
    std::vector<Member> members(4);
    for (std::size_t i = 0; i < members.size(); ++i) {
        members[i].name = "host-" + std::to_string(i + 1);
        members[i].zone = zones[i].name;
    }
    const std::vector<std::string> upstreamZones { "z1", "z4" };
    const auto owner = [&] { return ownerOf("orders", upstreamZones, members, zones); };
    EXPECT_EQ(owner(), "host-1");
    members[0].leaving = true;
    EXPECT_EQ(owner(), "host-2");
    members[1].state = MemberState::Dead;
    EXPECT_EQ(owner(), "host-3");
    members[2].state = MemberState::Suspect;
    EXPECT_EQ(owner(), "host-3") << "a suspect may be alive";
    members[2].state = MemberState::Dead;
    EXPECT_EQ(owner(), std::nullopt);
}
