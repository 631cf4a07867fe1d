#include "core/directory/view.h"

#include <gtest/gtest.h>

using namespace Directory;

namespace {

std::shared_ptr<const Configuration> version(std::uint64_t number)
{
    auto configuration = std::make_shared<Configuration>();
    configuration->version = number;
    return configuration;
}

Upstream upstream(const std::string& id, Role role, std::uint64_t revision)
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

// Guards against a configuration that is replaced by an older one, which a late answer may bring.
TEST(View, NeverGoesBackToAnOlderConfiguration)
{
    View view;
    EXPECT_TRUE(view.adopt(version(5)));
    EXPECT_FALSE(view.adopt(version(4)));
    EXPECT_FALSE(view.adopt(version(5)));
    EXPECT_EQ(view.configuration()->version, 5U);
    EXPECT_TRUE(view.adopt(version(9)));
}

// Guards against writes that go to a crashed primary whose entry still claims the lead (scale-2 of
// asahi-bindery, where they did for 3 s).
TEST(View, TheNewestClaimToTheLeadCounts)
{
    View view;
    view.setUpstream(upstream("a", Role::Primary, 1));
    view.setUpstream(upstream("b", Role::Replica, 2));
    ASSERT_NE(view.primaryOf("ledger"), nullptr);
    EXPECT_EQ(view.primaryOf("ledger")->id, "a");
    view.setUpstream(upstream("b", Role::Primary, 3));
    EXPECT_EQ(view.primaryOf("ledger")->id, "b");
}

// Guards against an old claim that becomes the newest when another field of its entry changes.
TEST(View, AChangedEntryDoesNotRenewItsClaim)
{
    View view;
    view.setUpstream(upstream("a", Role::Primary, 1));
    view.setUpstream(upstream("b", Role::Primary, 3));
    Upstream draining = upstream("a", Role::Primary, 4);
    draining.availability = Availability::Draining;
    view.setUpstream(draining);
    EXPECT_EQ(view.primaryOf("ledger")->id, "b");
}

// Guards against an upstream that starts again under its id and inherits the lead of its former self.
TEST(View, ARestartIsANewClaim)
{
    View view;
    view.setUpstream(upstream("b", Role::Primary, 3));
    view.setUpstream(upstream("a", Role::Primary, 1));
    Upstream restarted = upstream("a", Role::Primary, 5);
    restarted.startedAt = 77;
    view.setUpstream(restarted);
    EXPECT_EQ(view.primaryOf("ledger")->id, "a");
}

// Guards against new work for upstreams that leave or whose zone was taken out.
TEST(View, LeavingUpstreamsAndZonesTakeNoWork)
{
    View view;
    Upstream leaving = upstream("a", Role::Replica, 1);
    leaving.availability = Availability::Draining;
    EXPECT_FALSE(view.acceptsWork(leaving));
    const Upstream ready = upstream("b", Role::Replica, 2);
    EXPECT_TRUE(view.acceptsWork(ready));
    view.setZoneOut("north");
    EXPECT_FALSE(view.acceptsWork(ready));
    view.setZoneIn("north");
    EXPECT_TRUE(view.acceptsWork(ready));
}
