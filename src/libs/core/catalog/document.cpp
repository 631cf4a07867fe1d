#include "core/catalog/document.h"

#include <algorithm>
#include <array>

namespace Catalog {

namespace {

    using StateNames = std::array<std::string_view, 2>;

    constexpr StateNames keyStateNames { "active", "withdrawn" };
    constexpr StateNames upstreamStateNames { "active", "leaving" };
    constexpr StateNames zoneStateNames { "in", "out" };

    template <typename State> bool setFromNames(const StateNames& names, std::string_view name, State& state)
    {
        const auto found = std::ranges::find(names, name);
        if (found == names.end())
            return false;
        state = static_cast<State>(found - names.begin());
        return true;
    }

    /// The sort is stable, so that duplicate names keep the order in which the operator wrote them.
    template <typename Object> void sortByName(std::vector<Object>& objects)
    {
        std::ranges::stable_sort(objects, {}, &Object::name);
    }

}

void normalize(Document& document)
{
    for (Service& service : document.services)
        std::ranges::sort(service.upstreams);
    for (Route& route : document.routes)
        std::ranges::sort(route.customers);
    sortByName(document.customers);
    sortByName(document.keys);
    sortByName(document.services);
    sortByName(document.upstreams);
    sortByName(document.zones);
    sortByName(document.routes);
}

std::string_view stateName(KeyState state) { return keyStateNames[static_cast<std::size_t>(state)]; }

std::string_view stateName(UpstreamState state)
{
    return upstreamStateNames[static_cast<std::size_t>(state)];
}

std::string_view stateName(ZoneState state) { return zoneStateNames[static_cast<std::size_t>(state)]; }

bool setStateFromName(std::string_view name, KeyState& state)
{
    return setFromNames(keyStateNames, name, state);
}

bool setStateFromName(std::string_view name, UpstreamState& state)
{
    return setFromNames(upstreamStateNames, name, state);
}

bool setStateFromName(std::string_view name, ZoneState& state)
{
    return setFromNames(zoneStateNames, name, state);
}

}
