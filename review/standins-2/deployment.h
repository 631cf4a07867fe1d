#pragma once

#include "daemon.h"
#include "databases.h"
#include "store.h"

#include <string>
#include <vector>

namespace Review2 {

/// A customer of the desired state.
struct Tenant {
    std::string name;
    std::vector<std::string> keys;
    double ratePerS = 129;
    double burst = 129;
};

/// A route of the desired state; its name is also that of the database.
struct Route {
    std::string database;
    std::string kind = "primary";
    int timeoutMs = 800;
    int targetLatencyMs = 120;
    int maxStalenessMs = 0;
};

/// Returns the text of `op/config` for one service.
std::string desiredState(int version, const std::string& service, const std::vector<Route>& routes,
    const std::vector<Tenant>& tenants, int syncReplicas = 0);
/// Returns the text of a database's entry in `servers/ID`.
std::string databaseEntry(const std::string& service, const std::string& address, const std::string& zone,
    int slots, bool isPrimary);
/// Writes the entries of the databases, one in each zone in turn.
void registerDatabases(Store& store, const Databases& databases, const std::string& service, int slots,
    const std::vector<std::string>& zones);

}
