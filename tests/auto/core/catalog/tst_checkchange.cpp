#include "core/catalog/check.h"
#include "core/catalog/checkchange.h"
#include "testdocuments.h"

#include <gtest/gtest.h>

using namespace Catalog;
using namespace std::chrono_literals;
using TestDocuments::consistent;
using TestDocuments::hasFault;

namespace {

constexpr Model::Time start {};

/// A host with a document in force, which the store confirmed as current at `start`.
struct Host {
    Document current = consistent();
    MemberChangeLog log;

    Host()
    {
        log.adopt(nullptr, current, start);
        log.confirm(start);
    }

    /// Confirms the current document at `now`, and adopts the document as changed by `edit` if it has no
    /// faults.
    template <typename Edit> Faults publish(Model::Time now, Edit edit)
    {
        log.confirm(now);
        Document next = current;
        edit(next);
        normalize(next);
        EXPECT_TRUE(check(next).empty());
        Faults faults = checkChange(current, next, log, now);
        if (faults.empty()) {
            log.adopt(&current, next, now);
            current = next;
        }
        return faults;
    }
};

void addMember(Document& document, int service, const std::string& name, const std::string& address)
{
    document.upstreams.push_back({ name, address, "z1", 2, 15 });
    document.services[service].upstreams.push_back(name);
}

void removeMember(Document& document, int service) { document.services[service].upstreams.pop_back(); }

}

// Guards against a change of several members, after which the majorities before and after may not overlap.
TEST(CheckChange, RejectsSeveralMemberChangesOfOneService)
{
    Host host;
    const auto addTwo = [](Document& d) {
        addMember(d, 0, "a", "10.9.0.1:1");
        addMember(d, 0, "b", "10.9.0.2:1");
    };
    const auto replace = [](Document& d) {
        removeMember(d, 0);
        addMember(d, 0, "a", "10.9.0.1:1");
    };
    const auto one = [](Document& d) {
        addMember(d, 0, "a", "10.9.0.1:1");
        removeMember(d, 1);
    };
    EXPECT_TRUE(hasFault(host.publish(start + 90s, addTwo), ObjectType::Service, "db0", "upstreams"));
    EXPECT_TRUE(hasFault(host.publish(start + 90s, replace), ObjectType::Service, "db0", "upstreams"));
    EXPECT_TRUE(host.publish(start + 90s, one).empty());
}

// Guards against a second change to the members of a service before all hosts have adopted the first one.
TEST(CheckChange, RejectsMemberChangeWithinSixtySeconds)
{
    Host host;
    const auto addTo = [](int service, const char* name) {
        return [=](Document& d) { addMember(d, service, name, "10.9.0." + std::string(name) + ":1"); };
    };
    EXPECT_TRUE(host.publish(start + 70s, addTo(0, "1")).empty());
    EXPECT_FALSE(host.publish(start + 129s, addTo(0, "2")).empty());
    EXPECT_TRUE(host.publish(start + 129s, addTo(1, "3")).empty());
    EXPECT_TRUE(host.publish(start + 130s, addTo(0, "2")).empty());
}

// Guards against a host that allows a change because it does not know of the last one: after a start, and
// after it missed a change that was undone later.
TEST(CheckChange, RejectsMemberChangeIfEarlierChangesAreUnknown)
{
    Host host;
    const auto remove = [](Document& d) { removeMember(d, 0); };
    EXPECT_FALSE(host.publish(start + 59s, remove).empty());

    Host disconnected;
    disconnected.log.adopt(&disconnected.current, disconnected.current, start + 200s);
    Document next = disconnected.current;
    removeMember(next, 0);
    EXPECT_FALSE(checkChange(disconnected.current, next, disconnected.log, start + 259s).empty());
    // The store has not confirmed the version in force, so changes before the next version may have been
    // missed.
    disconnected.log.adopt(&disconnected.current, disconnected.current, start + 250s);
    EXPECT_FALSE(disconnected.publish(start + 309s, remove).empty());
    EXPECT_TRUE(disconnected.publish(start + 310s, remove).empty());
}

// Guards against evading the rule on member changes: by another address or a new service under the same name,
// and by moving a database to another group while the owner of the previous one may still use it.
TEST(CheckChange, RejectsMemberReplacementUnderReusedNameOrAddress)
{
    Host host;
    const auto readdress = [](Document& d) { d.upstreams[0].address = "10.9.0.1:1"; };
    EXPECT_TRUE(hasFault(host.publish(start + 90s, readdress), ObjectType::Upstream, "db0-z1", "address"));

    const auto move = [](Document& d) {
        d.services[1].upstreams.push_back(d.services[0].upstreams.back());
        d.services[0].upstreams.pop_back();
    };
    EXPECT_TRUE(hasFault(host.publish(start + 90s, move), ObjectType::Service, "db1", "upstreams"));

    const std::string removed = host.current.services[0].upstreams.back();
    EXPECT_TRUE(host.publish(start + 90s, [](Document& d) { removeMember(d, 0); }).empty());
    const auto addToOther = [&](Document& d) { d.services[1].upstreams.push_back(removed); };
    EXPECT_TRUE(hasFault(host.publish(start + 149s, addToOther), ObjectType::Upstream, removed, "address"));

    const auto removeService = [](Document& d) {
        d.services.erase(d.services.begin());
        d.routes.erase(d.routes.begin());
    };
    EXPECT_TRUE(host.publish(start + 150s, removeService).empty());
    const auto recreate = [](Document& d) { d.services.push_back({ "db0", { "db0-z1" } }); };
    EXPECT_TRUE(hasFault(host.publish(start + 209s, recreate), ObjectType::Service, "db0", "upstreams"));
    EXPECT_TRUE(host.publish(start + 210s, recreate).empty());
}

// Guards against queued requests of a withdrawn key that run because the key's name now stands for another
// key.
TEST(CheckChange, RejectsChangedOrReactivatedKey)
{
    Host host;
    const auto edits = { +[](Key& key) { key.hash = TestDocuments::keyHash(9); },
        +[](Key& key) { key.customer = "bolt"; } };
    for (const auto edit : edits)
        EXPECT_FALSE(host.publish(start + 90s, [&](Document& d) { edit(d.keys[0]); }).empty());
    EXPECT_TRUE(
        host.publish(start + 90s, [](Document& d) { d.keys[0].state = KeyState::Withdrawn; }).empty());
    const auto undo = [](Document& d) { d.keys[0].state = KeyState::Active; };
    EXPECT_TRUE(hasFault(host.publish(start + 90s, undo), ObjectType::Key, "acme-key", "state"));
}

// Guards against tokens that hosts with the previous version cannot verify, because they lack the signing
// key.
TEST(CheckChange, RejectsUnpublishedSigningKey)
{
    Host host;
    const auto set = [](const std::vector<std::string>& ids) {
        return [=](Document& d) { d.limits.tokenKeyIds = ids; };
    };
    EXPECT_TRUE(hasFault(host.publish(start, set({ "k2", "k1" })), ObjectType::Limits, "", "tokenKeyIds"));
    EXPECT_TRUE(host.publish(start, set({ "k1", "k2" })).empty());
    EXPECT_TRUE(host.publish(start, set({ "k2", "k1" })).empty());
}
