#include "core/directory/configuration.h"

#include <gtest/gtest.h>

using namespace Directory;

namespace {

Configuration makeConfiguration()
{
    Configuration result;
    result.version = 3;
    Route route;
    route.database = "orders";
    route.service = "ledger";
    result.routes.push_back(route);
    result.services.emplace("ledger", Service { "ledger", 16 });
    result.customers.emplace("acme", Customer { "acme", 10, 20 });
    result.customerByKey.emplace("key-1", "acme");
    result.customerByKey.emplace("key-of-nobody", "gone");
    return result;
}

}

// Guards against a session that is bound to a wrong route, for example to that of a similar database name.
TEST(Configuration, FindsRouteByDatabaseName)
{
    const Configuration known = makeConfiguration();
    ASSERT_NE(known.findRoute("orders"), nullptr);
    EXPECT_EQ(known.findRoute("orders")->service, "ledger");
    EXPECT_EQ(known.findRoute("order"), nullptr);
    EXPECT_EQ(known.findRoute(""), nullptr);
}

// Guards against a key that is mapped to another customer, and against a crash on a key of a customer that
// does not exist.
TEST(Configuration, FindsCustomerByKey)
{
    const Configuration known = makeConfiguration();
    ASSERT_NE(known.findCustomerOfKey("key-1"), nullptr);
    EXPECT_EQ(known.findCustomerOfKey("key-1")->name, "acme");
    EXPECT_EQ(known.findCustomerOfKey("key-2"), nullptr);
    EXPECT_EQ(known.findCustomerOfKey("key-of-nobody"), nullptr);
    EXPECT_EQ(known.findService("other"), nullptr);
}
