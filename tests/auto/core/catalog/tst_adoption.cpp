#include "../seeds.h"
#include "core/catalog/adoption.h"
#include "core/catalog/bootstrappeerselector.h"
#include "core/catalog/check.h"
#include "testdocuments.h"

#include <gtest/gtest.h>

using namespace Catalog;
using TestDocuments::consistent;

namespace {

constexpr Model::Time now {};

/// Returns a consistent document with random small changes.
Document randomEdit(Document document, std::mt19937_64& random)
{
    const std::string name = "c" + std::to_string(below(8, random));
    std::erase_if(document.customers, [&](const Customer& customer) { return customer.name == name; });
    if (onceIn(2, random))
        document.customers.push_back({ name, 1 + static_cast<std::int64_t>(below(3, random)), 5, 1 });
    document.zones[below(2, random)].state = onceIn(2, random) ? ZoneState::Out : ZoneState::In;
    if (onceIn(4, random))
        document.limits.queuedPerCustomer = 1 + static_cast<std::int64_t>(below(3, random));
    normalize(document);
    return document;
}

Version successor(const Snapshot& snapshot, Document document)
{
    return { snapshot.version() + 1, snapshot.hash(), "nonce", std::move(document) };
}

CurrentRow rowOf(const Version& version)
{
    return { version.number, versionHash(version), version.nonce, version.previousHash };
}

}

// Guards against a delta whose result differs from the announced document: a source passes through 80 random
// versions, sometimes skipping one, and computes the delta from each of them to its current version.
TEST(Delta, TransformsEachEarlierVersionIntoTheCurrentOne)
{
    forEachSeed(60, [](std::mt19937_64& random) {
        Adoption source;
        std::vector<SnapshotPointer> versions;
        Version version { 1, {}, "nonce", consistent() };
        for (int i = 0; i < 80; ++i) {
            ASSERT_TRUE(source.offerObject(rowOf(version), canonicalText(version), now));
            versions.push_back(source.current());
            version = successor(*source.current(), randomEdit(version.document, random));
            // Sometimes the source skips a version.
            if (onceIn(8, random))
                version = { version.number + 1, versionHash(version), "nonce",
                    randomEdit(version.document, random) };
        }
        std::size_t wholeCount = 0;
        for (const SnapshotPointer& from : versions) {
            Adoption target;
            ASSERT_TRUE(target.offerDelta(makeWholeDelta(*from), now));
            const std::optional<Delta> delta = source.history().deltaFrom(from->version());
            if (from == source.current()) {
                EXPECT_FALSE(delta);
                continue;
            }
            wholeCount += delta->fromVersion == 0 ? 1 : 0;
            ASSERT_TRUE(target.offerDelta(*delta, now));
            EXPECT_EQ(target.current()->hash(), source.current()->hash());
            EXPECT_EQ(target.current()->document(), source.current()->document());
        }
        // Of the 80 versions, the current one needs no delta, and the history covers 64 changes.
        EXPECT_EQ(wholeCount, 80U - 1 - History::maxEntries);
    });
}

// Guards against adopting a delta that was damaged or mixed with another one, so that its content does not
// have the stated hash.
TEST(Adoption, RejectsModifiedDelta)
{
    forEachSeed(300, [](std::mt19937_64& random) {
        Adoption source;
        Adoption target;
        const Version first { 1, {}, "nonce", consistent() };
        source.offerObject(rowOf(first), canonicalText(first), now);
        target.offerObject(rowOf(first), canonicalText(first), now);
        const Version second = successor(*source.current(), randomEdit(first.document, random));
        ASSERT_TRUE(source.offerObject(rowOf(second), canonicalText(second), now));
        Delta delta = onceIn(2, random) ? *source.history().deltaFrom(1) : makeWholeDelta(*source.current());
        switch (below(6, random)) {
        case 0:
            delta.nonce += "x";
            break;
        case 1:
            delta.version += 1;
            break;
        case 2:
            delta.hash = first.previousHash;
            break;
        case 3:
            delta.removed.emplace_back("customer/acme");
            break;
        case 4:
            delta.changed.emplace_back(R"({"customer":{"name":"new","rate":1,"burst":1}})");
            break;
        default:
            delta.changed.emplace_back("{\"customer\":[");
        }
        const AdoptionResult result = target.offerDelta(delta, now);
        ASSERT_FALSE(result);
        EXPECT_NE(result.error().reason, RefusalReason::NotNewer);
        EXPECT_EQ(target.currentVersion(), 1U);
    });
}

// Guards against a host that goes back to an earlier version, applies a delta to another base version, or
// adopts an object that does not match the row.
TEST(Adoption, AdoptsOnlyHigherVersions)
{
    Adoption source;
    Version version { 5, "h", "nonce", consistent() };
    ASSERT_TRUE(source.offerObject(rowOf(version), canonicalText(version), now));
    const auto reasonFor = [&](const Version& offered) {
        return source.offerObject(rowOf(offered), canonicalText(offered), now).error().reason;
    };
    EXPECT_EQ(reasonFor(version), RefusalReason::NotNewer);
    version.number = 4;
    EXPECT_EQ(reasonFor(version), RefusalReason::NotNewer);
    EXPECT_EQ(source.offerDelta(makeWholeDelta(*Snapshot::create(version)), now).error().reason,
        RefusalReason::NotNewer);
    version.number = 9;
    Delta delta = makeDelta(6, *Snapshot::create(version), {});
    EXPECT_EQ(source.offerDelta(delta, now).error().reason, RefusalReason::BaseMismatch);
    CurrentRow row = rowOf(version);
    row.version = 8;
    EXPECT_EQ(
        source.offerObject(row, canonicalText(version), now).error().reason, RefusalReason::HashMismatch);
    row = rowOf(version);
    EXPECT_EQ(source.offerObject(row, canonicalText(version) + " ", now).error().reason,
        RefusalReason::HashMismatch);
    EXPECT_EQ(source.currentVersion(), 5U);
}

// Guards against a snapshot of an inconsistent document, whose references would be null pointers.
TEST(Adoption, RejectsInconsistentDocument)
{
    Adoption adoption;
    Version version { 1, {}, "nonce", consistent() };
    version.document.keys[0].customer = "missing";
    const AdoptionResult result = adoption.offerObject(rowOf(version), canonicalText(version), now);
    ASSERT_FALSE(result);
    EXPECT_EQ(result.error().reason, RefusalReason::Inconsistent);
    EXPECT_FALSE(adoption.current());
}

// Guards against a host with an outdated version that publishes a document without checking the rule on
// member changes, because it does not have the base version.
TEST(Adoption, ChecksNextDocumentAgainstItsBaseVersion)
{
    Adoption adoption;
    const Version version { 5, "h", "nonce", consistent() };
    EXPECT_TRUE(adoption.checkNext(version.document, 0, now).empty());
    EXPECT_FALSE(adoption.checkNext(version.document, 5, now).empty());
    adoption.offerObject(rowOf(version), canonicalText(version), now);
    EXPECT_TRUE(adoption.checkNext(version.document, 5, now).empty());
    EXPECT_FALSE(adoption.checkNext(version.document, 6, now).empty());
    Document next = version.document;
    next.services[0].upstreams.pop_back();
    EXPECT_FALSE(adoption.checkNext(next, 5, now).empty());
    EXPECT_TRUE(adoption.checkNext(next, 4, now).empty());
    next.keys[0].customer = "missing";
    EXPECT_FALSE(adoption.checkNext(next, 4, now).empty());
}

// Guards against a wrong time since which a host is outdated, on which the fleet contact relies: later
// announcements and intermediate versions must not change it.
TEST(Adoption, OutdatedSinceFirstAnnouncementOfNewerVersion)
{
    Adoption adoption;
    Version version { 1, {}, "nonce", consistent() };
    adoption.offerObject(rowOf(version), canonicalText(version), now);
    EXPECT_FALSE(adoption.outdatedSince());
    adoption.noteAnnounced(3, now + std::chrono::seconds(1));
    adoption.noteAnnounced(2, now + std::chrono::seconds(2));
    EXPECT_EQ(adoption.outdatedSince(), now + std::chrono::seconds(1));
    version.number = 2;
    adoption.offerObject(rowOf(version), canonicalText(version), now + std::chrono::seconds(3));
    EXPECT_EQ(adoption.outdatedSince(), now + std::chrono::seconds(1));
    version.number = 3;
    adoption.offerObject(rowOf(version), canonicalText(version), now + std::chrono::seconds(4));
    EXPECT_FALSE(adoption.outdatedSince());
}

// Guards against a host that starts with the outdated version of a single peer.
TEST(BootstrapPeerSelector, SelectsHighestVersionOfThreeOrAllPeers)
{
    BootstrapPeerSelector selector;
    EXPECT_FALSE(selector.selectedPeer());
    for (const char* peer : { "a", "b", "c", "d", "e" })
        selector.addPeer(peer);
    selector.noteAnswer("a", 4);
    selector.noteAnswer("b", 0);
    selector.noteAnswer("c", 6);
    EXPECT_FALSE(selector.selectedPeer());
    selector.noteAnswer("d", 5);
    EXPECT_EQ(selector.selectedPeer(), "c");

    BootstrapPeerSelector few;
    few.addPeer("a");
    few.addPeer("b");
    few.noteAnswer("a", 4);
    EXPECT_FALSE(few.selectedPeer());
    few.noteFailure("b");
    EXPECT_EQ(few.selectedPeer(), "a");
}
