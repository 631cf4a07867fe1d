#pragma once

#include "../tests/auto/integration/process.h"
#include "databases.h"
#include "hostprocess.h"
#include "platformstandin.h"
#include "record.h"

#include <memory>
#include <string>
#include <vector>

namespace Review {

/// A small deployment: hosts as separate processes, started with the command of the deploy file, before the
/// stand-ins of the platform and of one service of three databases. All addresses are on loopback.
class Deployment {
public:
    struct Settings {
        int hosts = 3;
        Databases::Settings databases;
        /// Limit of a statement on every route.
        int statementTimeoutMs = 1500;
        /// Time that the platform allows between SIGTERM and SIGKILL.
        int graceS = 6;
    };

    /// Starts the hosts. `isReady` tells whether they were ready in time.
    Deployment(const Settings& settings, Record& record);
    ~Deployment();
    Deployment(const Deployment&) = delete;
    Deployment& operator=(const Deployment&) = delete;

    bool isReady() const { return m_isReady; }
    /// Whether the host answers its readiness probe with 200.
    bool isHostReady(int host) const;
    /// Address for consumers, of the form IP:PORT.
    std::string front(int host) const { return m_hosts.at(static_cast<std::size_t>(host)).front->address(); }
    HostProcess& process(int host) { return *m_hosts.at(static_cast<std::size_t>(host)).process; }
    Databases& databases() { return *m_databases; }
    PlatformStandin& platform() { return *m_platform; }
    /// Removes the entry of a database that says nothing any more, as the platform does after some silence.
    void removeEntry(const std::string& id) { m_platform->remove("servers", id); }

    /// The names of the routes, by kind, and a key of the only tenant.
    static constexpr const char* primaryRoute = "strict";
    static constexpr const char* boundedRoute = "bounded";
    static constexpr const char* ownWritesRoute = "own";
    static constexpr const char* key = "key-1";

private:
    struct Host {
        std::unique_ptr<Integration::ReservedPort> front;
        std::unique_ptr<Integration::ReservedPort> ready;
        std::unique_ptr<Integration::ReservedPort> peers;
        std::unique_ptr<HostProcess> process;
    };

    void publish(const Settings& settings);
    void startHost(int index, const Settings& settings);
    void updateEntry(const std::string& id);

    Record& m_record;
    std::string m_folder;
    std::unique_ptr<Databases> m_databases;
    std::unique_ptr<PlatformStandin> m_platform;
    std::vector<Host> m_hosts;
    bool m_isReady = false;
};

/// Whether the case runs with its disruption; not if the variable TROUBLE is 0.
bool hasTrouble();

/// Exit codes of a case.
constexpr int ruleHeld = 0;
constexpr int ruleBroken = 1;
constexpr int notRun = 2;

}
