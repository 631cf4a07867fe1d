#include "deployment.h"

namespace Review2 {

std::string desiredState(int version, const std::string& service, const std::vector<Route>& routes,
    const std::vector<Tenant>& tenants, int syncReplicas)
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
        { "coldStartS", 0.0 }, { "coldPerS", 0.0 }, { "syncReplicas", syncReplicas } } };
    return Json {
        { "version", version }, { "routes", routeList }, { "services", services },
        { "limits", { { "txIdleMs", 3000 } } }, { "tenants", tenantList }
    }.dump();
}

std::string databaseEntry(const std::string& service, const std::string& address, const std::string& zone,
    int slots, bool isPrimary)
{
    return Json {
        { "service", service }, { "address", address }, { "zone", zone }, { "version", "v1" },
        { "slots", slots }, { "state", "ready" }, { "coldLeftMs", 0 },
        { "dbRole", isPrimary ? "primary" : "replica" }, { "seq", 1 }, { "born", 1700000000000 }
    }.dump();
}

void registerDatabases(Store& store, const Databases& databases, const std::string& service, int slots,
    const std::vector<std::string>& zones)
{
    std::size_t zone = 0;
    for (const std::string& id : databases.ids()) {
        store.set("servers", id,
            databaseEntry(service, databases.address(id), zones[zone++ % zones.size()], slots,
                databases.isPrimary(id)));
    }
}

}
