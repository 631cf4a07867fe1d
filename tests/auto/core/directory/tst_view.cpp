#include "core/directory/view.h"

#include <gtest/gtest.h>

using namespace Directory;

namespace {

std::shared_ptr<const Configuration> makeConfiguration(std::uint64_t number)
{
    auto configuration = std::make_shared<Configuration>();
    configuration->version = number;
    return configuration;
}

Upstream makeUpstream(const std::string& id, Role role, std::uint64_t revision)
{
    Upstream result;
    result.id = id;
    result.service = "ledger";
    result.zone = "north";
    result.role = role;
    result.revision = revision;
    return result;
}

}

// Guards against the replacement of a configuration by an older one that arrives in a delayed response.
TEST(View, RejectsOlderConfiguration)
{
    View view;
    EXPECT_TRUE(view.adopt(makeConfiguration(5)));
    EXPECT_FALSE(view.adopt(makeConfiguration(4)));
    EXPECT_FALSE(view.adopt(makeConfiguration(5)));
    EXPECT_EQ(view.configuration()->version, 5U);
    EXPECT_TRUE(view.adopt(makeConfiguration(9)));
}

// Guards against writes that are sent to a crashed primary whose entry still announces the role (for 3 s in
// run scale-2 of deployment asahi-bindery).
TEST(View, NewestPrimaryAnnouncementCounts)
{
    View view;
    view.setUpstream(makeUpstream("a", Role::Primary, 1));
    view.setUpstream(makeUpstream("b", Role::Replica, 2));
    ASSERT_NE(view.primaryOf("ledger"), nullptr);
    EXPECT_EQ(view.primaryOf("ledger")->id, "a");
    view.setUpstream(makeUpstream("b", Role::Primary, 3));
    EXPECT_EQ(view.primaryOf("ledger")->id, "b");
}

// Guards against an old announcement of the primary role that counts as the newest because another field of
// the entry changed.
TEST(View, ChangedEntryDoesNotRenewPrimaryAnnouncement)
{
    View view;
    view.setUpstream(makeUpstream("a", Role::Primary, 1));
    view.setUpstream(makeUpstream("b", Role::Primary, 3));
    Upstream draining = makeUpstream("a", Role::Primary, 4);
    draining.availability = Availability::Draining;
    view.setUpstream(draining);
    EXPECT_EQ(view.primaryOf("ledger")->id, "b");
}

// Guards against an upstream that restarts under the same id and keeps the revision of the announcement of
// its previous incarnation.
TEST(View, RestartIsNewPrimaryAnnouncement)
{
    View view;
    view.setUpstream(makeUpstream("b", Role::Primary, 3));
    view.setUpstream(makeUpstream("a", Role::Primary, 1));
    Upstream restarted = makeUpstream("a", Role::Primary, 5);
    restarted.startedAt = 77;
    view.setUpstream(restarted);
    EXPECT_EQ(view.primaryOf("ledger")->id, "a");
}

// Guards against a crashed primary that counts as the newest again: its entry had expired, and appears once
// more as the store is restored from an older copy.
TEST(View, EntryThatAppearsAgainIsNoNewPrimaryAnnouncement)
{
    View view;
    view.setUpstream(makeUpstream("a", Role::Primary, 1));
    view.setUpstream(makeUpstream("b", Role::Primary, 3));
    view.removeUpstream("a", Model::Time {});
    view.setUpstream(makeUpstream("a", Role::Primary, 9));
    view.setUpstream(makeUpstream("b", Role::Primary, 9));
    EXPECT_EQ(view.primaryOf("ledger")->id, "b");
    Upstream restarted = makeUpstream("a", Role::Primary, 10);
    restarted.startedAt = 77;
    view.setUpstream(restarted);
    EXPECT_EQ(view.primaryOf("ledger")->id, "a");
}

// Guards against a promotion that does not ask an upstream which runs, but does not reach the store, and
// against one that waits for an upstream whose successor has its address.
TEST(View, RemembersRemovedUpstreams)
{
    const auto at = [](const std::string& id, const std::string& address) {
        Upstream result = makeUpstream(id, Role::Replica, 1);
        result.address = address;
        return result;
    };
    View view;
    view.setUpstream(at("a", "10.0.0.1:1"));
    view.setUpstream(at("b", "10.0.0.2:1"));
    view.setUpstream(at("c", "10.0.0.3:1"));
    for (const char* id : { "a", "b", "c" })
        view.removeUpstream(id, Model::Time(std::chrono::seconds(5)));
    EXPECT_EQ(view.findUpstream("a"), nullptr);
    ASSERT_NE(view.findFormerUpstream("a"), nullptr);
    EXPECT_EQ(view.findFormerUpstream("a")->upstream.address, "10.0.0.1:1");
    EXPECT_EQ(view.findFormerUpstream("a")->removedAt, Model::Time(std::chrono::seconds(5)));
    EXPECT_EQ(view.formerUpstreamsOf("ledger").size(), 3U);
    EXPECT_TRUE(view.formerUpstreamsOf("other").empty());
    view.setUpstream(at("a", "10.0.0.9:1"));
    EXPECT_EQ(view.findFormerUpstream("a"), nullptr);
    view.setUpstream(at("d", "10.0.0.2:1"));
    EXPECT_EQ(view.findFormerUpstream("b"), nullptr);
    view.removeUpstream("d", Model::Time(std::chrono::hours(1)));
    EXPECT_EQ(view.findFormerUpstream("c"), nullptr);
    // The successor may register before the entry of the previous one is removed.
    view.setUpstream(at("e", "10.0.0.9:1"));
    view.removeUpstream("a", Model::Time(std::chrono::hours(1)));
    EXPECT_EQ(view.findFormerUpstream("a"), nullptr);
}

// Guards against new work for upstreams that are draining or whose zone was taken out of service.
TEST(View, DrainingUpstreamsAndZonesOutAcceptNoWork)
{
    View view;
    Upstream draining = makeUpstream("a", Role::Replica, 1);
    draining.availability = Availability::Draining;
    EXPECT_FALSE(view.acceptsWork(draining));
    const Upstream ready = makeUpstream("b", Role::Replica, 2);
    EXPECT_TRUE(view.acceptsWork(ready));
    view.setZoneOut("north");
    EXPECT_FALSE(view.acceptsWork(ready));
    view.setZoneIn("north");
    EXPECT_TRUE(view.acceptsWork(ready));
}
