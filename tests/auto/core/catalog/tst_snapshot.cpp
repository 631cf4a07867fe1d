#include "core/catalog/keyhasher.h"
#include "core/catalog/snapshot.h"
#include "testdocuments.h"

#include <gtest/gtest.h>

using namespace Catalog;
using TestDocuments::keyHash;

// Guards against requests that run for another customer than the one to whom their key belongs.
TEST(Snapshot, FindsCustomerOfKey)
{
    const auto snapshot = Snapshot::create(3, TestDocuments::consistent());
    const KeyEntry* entry = snapshot->findActiveKey(keyHash(1));
    ASSERT_TRUE(entry);
    EXPECT_EQ(entry->key->name, "bolt-key");
    EXPECT_EQ(entry->customer->name, "bolt");
    EXPECT_FALSE(snapshot->findActiveKey(keyHash(7)));
    EXPECT_FALSE(snapshot->findActiveKey(""));
}

// Guards against withdrawn keys that are still accepted, for new or for queued requests.
TEST(Snapshot, WithdrawnKeysAreNotActive)
{
    Document document = TestDocuments::consistent();
    EXPECT_TRUE(Snapshot::create(1, document)->isKeyActive("acme-key", "acme"));
    document.keys[0].state = KeyState::Withdrawn;
    const auto snapshot = Snapshot::create(2, document);
    EXPECT_FALSE(snapshot->findActiveKey(keyHash(0)));
    EXPECT_FALSE(snapshot->isKeyActive("acme-key", "acme"));
    EXPECT_TRUE(snapshot->isKeyActive("bolt-key", "bolt"));
    EXPECT_FALSE(snapshot->isKeyActive("bolt-key", "acme"));
    EXPECT_FALSE(snapshot->isKeyActive("missing", "acme"));
}

// Guards against routes that admit customers which they do not list.
TEST(Snapshot, RouteAllowsOnlyListedCustomers)
{
    Document document = TestDocuments::consistent();
    document.routes[1].customers = { "acme" };
    const auto snapshot = Snapshot::create(1, document);
    EXPECT_TRUE(snapshot->findRoute("route0")->allows(""));
    EXPECT_TRUE(snapshot->findRoute("route1")->allows("acme"));
    EXPECT_FALSE(snapshot->findRoute("route1")->allows("bolt"));
    EXPECT_FALSE(snapshot->findRoute("route1")->allows(""));
    EXPECT_FALSE(snapshot->findRoute("route9"));
    const RouteEntry* route = snapshot->findRoute("route1");
    ASSERT_EQ(route->service->upstreams.size(), 3U);
    EXPECT_EQ(route->service->upstreams[0]->name, "db1-z1");
}

// Guards against hosts that continue to serve after operators removed their availability zone from the
// document.
TEST(Snapshot, UnknownZoneIsNotInService)
{
    Document document = TestDocuments::consistent();
    document.zones[1].state = ZoneState::Out;
    const auto snapshot = Snapshot::create(1, document);
    EXPECT_TRUE(snapshot->isZoneIn("z1"));
    EXPECT_FALSE(snapshot->isZoneIn("z2"));
    EXPECT_FALSE(snapshot->isZoneIn("z9"));
}

// Guards against hashes that differ between hosts, and against equal hashes of different keys or secrets.
TEST(KeyHasher, DependsOnSecretAndKeyOnly)
{
    const KeyHasher hasher("secret one");
    EXPECT_EQ(hasher.hash("key"), KeyHasher("secret one").hash("key"));
    EXPECT_NE(hasher.hash("key"), KeyHasher("secret two").hash("key"));
    EXPECT_NE(hasher.hash("key"), hasher.hash("key2"));
    EXPECT_EQ(hasher.hash("key").size(), 43U);
}
