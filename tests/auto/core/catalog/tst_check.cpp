#include "core/catalog/check.h"
#include "core/catalog/parsedocument.h"
#include "testdocuments.h"

#include <fstream>
#include <functional>
#include <iterator>

#include <gtest/gtest.h>

using namespace Catalog;
using TestDocuments::consistent;
using TestDocuments::hasFault;

namespace {

struct Case {
    const char* description;
    std::function<void(Document&)> edit;
    ObjectType type;
    std::string name;
    std::string field;
};

const std::vector<Case>& cases()
{
    using enum ObjectType;
    static const std::vector<Case> all {
        { "key of an unknown customer", [](Catalog::Document& d) { d.keys[0].customer = "x"; }, Key,
            "acme-key", "customer" },
        { "key hash of the wrong size", [](Catalog::Document& d) { d.keys[0].hash = "abcd"; }, Key,
            "acme-key", "hash" },
        { "key hash with invalid characters", [](Catalog::Document& d) { d.keys[0].hash[5] = '+'; }, Key,
            "acme-key", "hash" },
        { "one key for two customers", [](Catalog::Document& d) { d.keys[1].hash = d.keys[0].hash; }, Key,
            "bolt-key", "hash" },
        { "key name twice", [](Catalog::Document& d) { d.keys[1].name = d.keys[0].name; }, Key, "acme-key",
            "name" },
        { "customer twice", [](Catalog::Document& d) { d.customers.push_back(d.customers[0]); }, Customer,
            "acme", "name" },
        { "rate of zero", [](Catalog::Document& d) { d.customers[0].rate = 0; }, Customer, "acme", "rate" },
        { "negative burst", [](Catalog::Document& d) { d.customers[0].burst = -1; }, Customer, "acme",
            "burst" },
        { "weight too large", [](Catalog::Document& d) { d.customers[0].weight = 1001; }, Customer, "acme",
            "weight" },
        { "empty name",
            [](Catalog::Document& d) {
                d.customers.push_back({ "", 1, 1 });
            },
            Customer, "", "name" },
        { "name with a slash",
            [](Catalog::Document& d) {
                d.routes.push_back({ "a/b", "db0", {}, true });
            },
            Route, "a/b", "name" },
        { "name with a control character", [](Catalog::Document& d) { d.zones[0].region = "a\nb"; }, Zone,
            "z1", "region" },
        { "name too long", [](Catalog::Document& d) { d.zones[0].region = std::string(65, 'a'); }, Zone, "z1",
            "region" },
        { "unknown zone", [](Catalog::Document& d) { d.upstreams[0].zone = "z9"; }, Upstream, "db0-z1",
            "zone" },
        { "address of another upstream",
            [](Catalog::Document& d) { d.upstreams[1].address = d.upstreams[0].address; }, Upstream, "db0-z2",
            "address" },
        { "more slots than connections", [](Catalog::Document& d) { d.upstreams[0].slots = 16; }, Upstream,
            "db0-z1", "connections" },
        { "no slots", [](Catalog::Document& d) { d.upstreams[0].slots = 0; }, Upstream, "db0-z1", "slots" },
        { "too many connections", [](Catalog::Document& d) { d.upstreams[0].connections = 10001; }, Upstream,
            "db0-z1", "connections" },
        { "service without upstreams", [](Catalog::Document& d) { d.services[0].upstreams.clear(); }, Service,
            "db0", "upstreams" },
        { "unknown upstream", [](Catalog::Document& d) { d.services[0].upstreams[0] = "x"; }, Service, "db0",
            "upstreams" },
        { "upstream twice in a service",
            [](Catalog::Document& d) { d.services[0].upstreams[1] = d.services[0].upstreams[0]; }, Service,
            "db0", "upstreams" },
        { "upstream in two services",
            [](Catalog::Document& d) { d.services[1].upstreams[0] = d.services[0].upstreams[0]; }, Service,
            "db1", "upstreams" },
        { "all upstreams leaving",
            [](Catalog::Document& d) {
                for (auto& upstream : d.upstreams)
                    upstream.state = UpstreamState::Leaving;
            },
            Service, "db0", "upstreams" },
        { "only zone of a service out",
            [](Catalog::Document& d) {
                d.services[0].upstreams = { "db0-z1" };
                d.zones[0].state = ZoneState::Out;
            },
            Service, "db0", "upstreams" },
        { "all zones out",
            [](Catalog::Document& d) {
                for (auto& zone : d.zones)
                    zone.state = ZoneState::Out;
            },
            ObjectType::Document, "", "zones" },
        { "route to an unknown service", [](Catalog::Document& d) { d.routes[0].service = "x"; }, Route,
            "route0", "service" },
        { "route for an unknown customer", [](Catalog::Document& d) { d.routes[1].customers[0] = "x"; },
            Route, "route1", "customers" },
        { "customer twice in a route", [](Catalog::Document& d) { d.routes[1].customers[1] = "acme"; }, Route,
            "route1", "customers" },
        { "open route with customers", [](Catalog::Document& d) { d.routes[1].open = true; }, Route, "route1",
            "open" },
        { "route without customers that is not open",
            [](Catalog::Document& d) { d.routes[1].customers.clear(); }, Route, "route1", "customers" },
        { "no token keys", [](Catalog::Document& d) { d.limits.tokenKeyIds.clear(); }, Limits, "",
            "tokenKeyIds" },
        { "token key twice",
            [](Catalog::Document& d) {
                d.limits.tokenKeyIds = { "a", "b", "a" };
            },
            Limits, "", "tokenKeyIds" },
        { "token key with invalid characters", [](Catalog::Document& d) { d.limits.tokenKeyIds = { "a b" }; },
            Limits, "", "tokenKeyIds" },
        { "body size beyond what the interface accepts",
            [](Catalog::Document& d) { d.limits.bodyBytes = 16'777'217; }, Limits, "", "bodyBytes" },
        { "queue bound of zero", [](Catalog::Document& d) { d.limits.queuedPerCustomer = 0; }, Limits, "",
            "queuedPerCustomer" },
    };
    return all;
}

}

TEST(Check, ConsistentDocumentHasNoFaults) { EXPECT_TRUE(check(consistent()).empty()); }

// Guards against an inconsistency that is not found, and against a fault that names another object or field.
TEST(Check, ReportsObjectAndFieldOfEachFault)
{
    for (const Case& testCase : cases()) {
        Document document = consistent();
        testCase.edit(document);
        EXPECT_TRUE(hasFault(check(document), testCase.type, testCase.name, testCase.field))
            << testCase.description;
    }
}

// Guards against a check that stops at the first fault, so that operators need one attempt for each fault.
TEST(Check, ReportsAllFaults)
{
    Document document = consistent();
    document.customers[0].rate = 0;
    document.keys[1].customer = "x";
    document.routes[0].service = "y";
    const Faults faults = check(document);
    EXPECT_EQ(faults.size(), 3U);
    EXPECT_EQ(checkFailed(faults).code, Model::ErrorCode::CheckFailed);
}

// Guards against several spellings of one address, which would hide that a database is listed twice, and
// against addresses that are not valid.
TEST(Check, RejectsInvalidAddresses)
{
    for (const char* address : { "", "10.0.0.1", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.256:1",
             "10.0.0:1", "10.0.0.0.1:1", "10.0.0.01:1", "010.0.0.1:1", "10.0.0.1:07", "10.0.0.-1:1",
             " 10.0.0.1:1", "10.0.0.1:1 ", "10.0.0.1:+1", "db.example:1", "[::1]:1" }) {
        Document document = consistent();
        document.upstreams[0].address = address;
        EXPECT_TRUE(hasFault(check(document), ObjectType::Upstream, "db0-z1", "address")) << address;
    }
}

// Guards against an example document in OPERATIONS.md that does not pass the checks.
TEST(Check, AcceptsExampleOfOperationsPage)
{
    std::ifstream file(std::string(PARSLEYTACK_DOCS_DIR) + "/OPERATIONS.md");
    const std::string page { std::istreambuf_iterator<char>(file), {} };
    const std::string opening = "```json\n";
    const std::size_t begin = page.find(opening);
    ASSERT_NE(begin, std::string::npos);
    const std::size_t end = page.find("```", begin + opening.size());
    const auto document = parseDocument(page.substr(begin + opening.size(), end - begin - opening.size()));
    ASSERT_TRUE(document) << checkFailed(document.error()).message;
    EXPECT_EQ(check(*document), Faults {});
}
