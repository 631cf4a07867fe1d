#pragma once

#include "caller.h"
#include "process.h"

#include <array>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Integration {

struct FleetOptions {
    /// Replication lag of each database.
    int lagMs = 0;
    /// Execution time of a statement.
    int serviceMs = 1;
    // Limits in the published document.
    int queuedPerCustomer = 200;
    int openTransactions = 100;
    int transactionIdleMs = 30000;
};

/// Runs three hosts in two availability zones, one group of three databases behind a fault proxy, and the
/// platform, each in its own process. The destructor ends all processes and, if the test failed, prints the
/// end of their output.
///
/// The customers are `alpha`, `beta`, and `small` with a rate of 1 and a burst of 2. Each has the key
/// `CUSTOMER-key`. The route `main` admits alpha and small; `public` is open to all callers.
class Fleet {
public:
    static constexpr int size = 3;

    explicit Fleet(const FleetOptions& options = {});
    ~Fleet();
    Fleet(const Fleet&) = delete;
    Fleet& operator=(const Fleet&) = delete;

    /// Starts all hosts, publishes the document and waits until each host acknowledges a write; false if that
    /// fails.
    bool start();
    /// Registers the host with the platform and starts its process.
    void startHost(int index);
    /// Waits until the host acknowledges a write; false if it does not within 40 s.
    bool waitUntilServing(int index) const;
    /// Address of the host's interface for callers.
    std::string host(int index) const { return m_hostPorts[index].callers.address(); }
    std::vector<std::string> hosts() const;
    /// Sends a request with the operator secret to a host's interface for operators.
    Reply requestAsOperator(
        int index, const std::string& method, const std::string& path, const std::string& body = {}) const;
    std::string peerAddress(int index) const { return m_hostPorts[index].peers.address(); }
    Process& hostProcess(int index) { return *m_hosts[index]; }
    /// Kills the host's process.
    void endHost(int index) { m_hosts[index].reset(); }
    /// The host that owns the group's connections according to its log; nullopt if there is none.
    std::optional<int> owner() const;

    Process& database(int index) { return *m_databases[index]; }
    /// Injects faults into a database stand-in and returns its state.
    Json controlDatabase(int index, const Json& faults = Json::object()) const;
    /// Injects faults into the connections to one database, or to all if `index` is -1.
    Json controlLink(int index, const Json& faults) const;
    /// Injects faults into the platform's store and returns its state.
    Json controlStore(const Json& faults) const;
    /// The reachable database that is the primary in the highest term; nullopt if there is none.
    std::optional<int> primary() const;
    /// Waits for a primary and reads a key there directly; empty if the key does not exist.
    std::string readFinal(const std::string& key) const;

    /// Writes the document to the store as the next version; false if it is invalid or the store rejects it.
    bool publish(const Json& changed) const;

    /// The document that start() publishes.
    Json document;

    static const std::string fleetSecret;
    static std::string keyOf(const std::string& customer) { return customer + "-key"; }

private:
    struct HostPorts {
        ReservedPort callers;
        ReservedPort operators;
        ReservedPort peers;
    };

    std::string writeFile(const std::string& name, const std::string& content) const;
    std::unique_ptr<Process> launch(
        const char* program, const std::string& name, std::vector<std::string> arguments) const;
    Json makeDocument(const FleetOptions& options) const;
    Json makeSettings(int index) const;

    std::string m_directory;
    std::string m_curvePublicKey;
    std::string m_curveSecretKey;
    std::array<HostPorts, size> m_hostPorts;
    std::array<ReservedPort, size> m_databasePorts;
    std::array<ReservedPort, size> m_linkPorts;
    ReservedPort m_linkControl;
    ReservedPort m_storePort;
    std::unique_ptr<Process> m_store;
    std::unique_ptr<Process> m_faultProxy;
    std::array<std::unique_ptr<Process>, size> m_databases;
    std::array<std::unique_ptr<Process>, size> m_hosts;
};

}
