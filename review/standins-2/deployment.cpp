#include "deployment.h"

namespace Review2 {

std::string desiredState(int version, const std::string& service, const std::vector<Route>& routes,
    const std::vector<Tenant>& tenants)
{
    Json routeList = Json::array();
    for (const Route& route : routes) {
        routeList.push_back({ { "name", "r-" + route.database }, { "host", route.database },
            { "prefix", "/" }, { "routeKind", route.kind }, { "timeoutMs", route.timeoutMs },
            { "targetLatencyMs", route.targetLatencyMs }, { "priority", 1 }, { "service", service },
            { "maxAttempts", 2 }, { "maxStalenessMs", route.maxStalenessMs }, { "allowAnonymous", false } });
    }
    Json tenantList = Json::array();
    for (const Tenant& tenant : tenants) {
        tenantList.push_back({ { "name", tenant.name }, { "apiKeys", tenant.keys }, { "priority", 1 },
            { "ratePerS", tenant.ratePerS }, { "burst", tenant.burst } });
    }
    const Json services { { { "name", service }, { "healthPath", "/health" }, { "maxConns", 16 },
        { "coldStartS", 0.0 }, { "coldPerS", 0.0 }, { "syncReplicas", 0 } } };
    return Json {
        { "version", version }, { "routes", routeList }, { "services", services },
        { "limits", { { "txIdleMs", 3000 } } }, { "tenants", tenantList }
    }.dump();
}

void registerDatabases(Store& store, const Databases& databases, const std::string& service, int slots,
    const std::vector<std::string>& zones)
{
    std::size_t zone = 0;
    for (const std::string& id : databases.ids()) {
        const Json entry { { "service", service }, { "address", databases.address(id) },
            { "zone", zones[zone++ % zones.size()] }, { "version", "v1" }, { "slots", slots },
            { "state", "ready" }, { "coldLeftMs", 0 },
            { "dbRole", databases.isPrimary(id) ? "primary" : "replica" }, { "seq", 1 },
            { "born", 1700000000000 } };
        store.set("servers", id, entry.dump());
    }
}

}
