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
    int lagMs = 0;
    int serviceMs = 1;
    int queuedPerCustomer = 200;
    int openTransactions = 100;
    int transactionIdleMs = 30000;
};

/// Three hosts in two availability zones, one group of three databases behind a fault proxy, and the
/// platform. All processes end with the object; on a failed test it prints what they wrote.
///
/// The customers are `alpha` and `beta`, and `small` with a burst of 2. Each has the key `CUSTOMER-key`.
/// The route `main` is for alpha and small, `public` is open to all.
class Fleet {
public:
    static constexpr int size = 3;

    explicit Fleet(const FleetOptions& options = {});
    ~Fleet();
    Fleet(const Fleet&) = delete;
    Fleet& operator=(const Fleet&) = delete;

    /// Starts all hosts, publishes the document and waits until all hosts serve.
    bool start();
    void startHost(int index);
    /// Waits until a write through the host is acknowledged.
    bool waitUntilServing(int index) const;
    /// Address for callers.
    std::string host(int index) const { return m_hostPorts[index].callers.address(); }
    std::vector<std::string> hosts() const;
    /// A request to a host's interface for operators, with the operators' secret.
    Reply requestAsOperator(
        int index, const std::string& method, const std::string& path, const std::string& body = {}) const;
    std::string peerAddress(int index) const { return m_hostPorts[index].peers.address(); }
    Process& hostProcess(int index) { return *m_hosts[index]; }
    void endHost(int index) { m_hosts[index].reset(); }
    /// The host that holds the group's connections, by its log; nothing without one.
    std::optional<int> owner() const;

    Process& database(int index) { return *m_databases[index]; }
    Json controlDatabase(int index, const Json& faults = Json::object()) const;
    /// Faults on the connections to one database; -1 for all.
    Json controlLink(int index, const Json& faults) const;
    Json controlStore(const Json& faults) const;
    /// The reachable database that is primary in the highest term; nothing without one.
    std::optional<int> primary() const;
    /// Waits for a primary and reads a key there; empty if there is no such key.
    std::string readFinal(const std::string& key) const;

    /// Writes the document to the store as the next version; false if the store refused it.
    bool publish(const Json& changed) const;

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
