#pragma once

#include "faultproxy/link.h"
#include "process.h"
#include "sessionplatform/databases.h"
#include "sessionplatform/rowstore.h"

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// Connection of a caller to a host. Speaks the line protocol; not thread-safe.
class Client {
public:
    /// `address` has the form IP:PORT. `receiveBuffer` limits the bytes that the system receives for the
    /// client before it reads them; 0 for the system's default.
    explicit Client(const std::string& address, int receiveBuffer = 0);
    ~Client();
    Client(const Client&) = delete;
    Client& operator=(const Client&) = delete;

    /// Opens a session and returns the line that the host responded with; empty if it did not respond.
    std::string open(const std::string& database, const std::string& key);
    /// Sends a statement and returns the lines of the response up to its READY line. The response is
    /// incomplete if the host closes the connection or does not respond in time.
    std::vector<std::string> query(const std::string& text);
    /// Sends bytes unchanged and ignores errors.
    void sendRaw(const std::string& bytes) const;
    /// Returns the next line; std::nullopt if the host closes the connection or sends nothing for 5 s.
    std::optional<std::string> line();
    /// Data that was received after the last complete line.
    const std::string& rest() const { return m_buffer; }

private:
    int m_socket = -1;
    int m_lastId = 0;
    std::string m_buffer;
};

/// Whether a response ends with COMPLETE and READY, so that the statement succeeded.
bool isComplete(const std::vector<std::string>& answer);
/// The error code of a response; empty if the response does not begin with ERROR.
std::string errorCode(const std::vector<std::string>& answer);

/// Runs hosts as processes, with stand-ins for the store and for a database group.
class TestCluster {
public:
    /// How the hosts connect to the store and the databases.
    enum class Path : std::uint8_t {
        Direct,
        /// Through links that can delay, block and reset connections.
        Links,
    };

    /// What keeps the hosts from using a primary that is being replaced.
    enum class Fencing : std::uint8_t {
        /// The promoter takes the role from it.
        Promoter,
        /// The hosts agree on it among themselves.
        Hosts,
    };

    /// Starts the hosts, with `limits` as for `setLimit`, and waits until they are ready.
    explicit TestCluster(int hosts, Path path = Path::Direct, Fencing fencing = Fencing::Promoter,
        std::map<std::string, int> limits = {});

    /// These settings apply to hosts that are started later. The time is in seconds; the rate is the fraction
    /// of traced statements, from 0 to 1.
    void setForgetHostsAfter(int seconds) { m_forgetHostsAfterS = seconds; }
    void setTraceSampleRate(double rate) { m_traceSampleRate = rate; }
    /// 0 for no usage reports.
    void setUsageWindow(int seconds) { m_usageWindowS = seconds; }
    void setLimit(const std::string& name, int value) { m_limits[name] = value; }
    /// Applies to configurations that are published later.
    void setStatementTimeout(std::chrono::milliseconds timeout) { m_statementTimeout = timeout; }
    void startHost(int host);
    Integration::Process& host(int host) { return *m_hosts.at(static_cast<std::size_t>(host)).process; }
    /// Address for callers, of the form IP:PORT.
    std::string callers(int host) const
    {
        return m_hosts.at(static_cast<std::size_t>(host)).callers->address();
    }
    /// Addresses of the probe and for messages of other hosts, of the form IP:PORT.
    std::string probe(int host) const { return m_hosts.at(static_cast<std::size_t>(host)).probe->address(); }
    std::string peers(int host) const { return m_hosts.at(static_cast<std::size_t>(host)).peers->address(); }
    /// Requests a path, such as that of the readiness probe or of the metrics, from the host's probe address.
    /// Returns the whole HTTP response; empty if there is none.
    std::string get(int host, const std::string& path) const;
    bool isReady(int host) const { return get(host, "/ready").starts_with("HTTP/1.1 200"); }
    /// Applies to configurations that are published later.
    void setSynchronousReplicas(int replicas) { m_synchronousReplicas = replicas; }
    /// Applies to configurations that are published later: routes besides the three that the tests use.
    void setFurtherRoutes(int count) { m_furtherRoutes = count; }
    /// Publishes a configuration with these keys of the customer `acme`. `rate` is its rate in operations per
    /// second, and also its burst.
    void publish(const std::vector<std::string>& keys, double rate = 1000);

    /// The link from all hosts to a database, and the one from a host to the store. Only with Path::Links.
    Standins::Link& databaseLink(int database)
    {
        return *m_databaseLinks.at(static_cast<std::size_t>(database));
    }
    Standins::Link& storeLink(int host) { return *m_storeLinks.at(static_cast<std::size_t>(host)); }

    Standins::Databases& databases() { return *m_databases; }
    Standins::RowStore& store() { return *m_store; }

private:
    /// Ports after the reserved one that a host may use for other hosts.
    static constexpr int furtherPeerPorts = 15;

    struct Host {
        std::unique_ptr<Integration::ReservedPort> callers;
        std::unique_ptr<Integration::ReservedPort> probe;
        std::unique_ptr<Integration::ReservedPort> peers;
        std::unique_ptr<Integration::Process> process;
    };

    void registerDatabase(const std::string& id);
    static Standins::Link* startLink(const std::string& target);

    std::unique_ptr<Standins::RowStore> m_store;
    std::unique_ptr<Standins::Databases> m_databases;
    /// Never destroyed, since their detached threads run until the process ends.
    std::vector<Standins::Link*> m_databaseLinks;
    std::vector<Standins::Link*> m_storeLinks;
    std::vector<Host> m_hosts;
    Fencing m_fencing;
    int m_version = 0;
    int m_furtherRoutes = 0;
    int m_synchronousReplicas = 0;
    int m_forgetHostsAfterS = 600;
    double m_traceSampleRate = 0;
    int m_usageWindowS = 0;
    /// Numeric settings by name.
    std::map<std::string, int> m_limits;
    std::chrono::milliseconds m_statementTimeout { 800 };
};
