#include "core/directory/configuration.h"

#include <algorithm>

namespace Directory {

const Route* Configuration::findRoute(std::string_view database) const
{
    const auto found = std::ranges::find(routes, database, &Route::database);
    return found == routes.end() ? nullptr : &*found;
}

const Service* Configuration::findService(std::string_view name) const
{
    const auto found = services.find(name);
    return found == services.end() ? nullptr : &found->second;
}

const Customer* Configuration::findCustomer(std::string_view name) const
{
    const auto found = customers.find(name);
    return found == customers.end() ? nullptr : &found->second;
}

const Customer* Configuration::findCustomerOfKey(const std::string& key) const
{
    const auto found = customerByKey.find(key);
    return found == customerByKey.end() ? nullptr : findCustomer(found->second);
}

}
