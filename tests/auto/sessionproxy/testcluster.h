#pragma once

#include "faultproxy/link.h"
#include "process.h"
#include "sessionplatform/databases.h"
#include "sessionplatform/rowstore.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

/// A caller's connection to a host.
class Client {
public:
    /// `address` has the form IP:PORT.
    explicit Client(const std::string& address);
    ~Client();
    Client(const Client&) = delete;
    Client& operator=(const Client&) = delete;

    /// Opens a session; the answer is the line that the host sent.
    std::string open(const std::string& database, const std::string& key);
    /// Sends a statement and returns the lines of the answer up to the state; fewer if the host closed.
    std::vector<std::string> query(const std::string& text);
    /// Sends bytes as they are.
    void sendRaw(const std::string& bytes) const;
    /// The next line; nothing if the host closed or is silent for five seconds.
    std::optional<std::string> line();
    /// What was received behind the last line.
    const std::string& rest() const { return m_buffer; }

private:
    int m_socket = -1;
    int m_lastId = 0;
    std::string m_buffer;
};

/// Whether the answer's first line says that a statement succeeded.
bool isComplete(const std::vector<std::string>& answer);
/// The code of an error, or an empty text.
std::string errorCode(const std::vector<std::string>& answer);

/// Hosts that are real processes, before a store and a database group that the test plays.
class TestCluster {
public:
    /// How the hosts reach the store and the databases.
    enum class Path : std::uint8_t {
        Direct,
        /// Through links that can delay, cut and reset connections.
        Links,
    };

    explicit TestCluster(int hosts, Path path = Path::Direct);

    /// For the hosts that start from now on.
    void setForgetHostsAfter(int seconds) { m_forgetHostsAfterS = seconds; }
    void setTraceSampleRate(double rate) { m_traceSampleRate = rate; }
    void startHost(int host);
    Integration::Process& host(int host) { return *m_hosts.at(static_cast<std::size_t>(host)).process; }
    std::string callers(int host) const
    {
        return m_hosts.at(static_cast<std::size_t>(host)).callers->address();
    }
    /// The answer of the host to the balancer's probe or for its metrics; an empty text if there is none.
    std::string get(int host, const std::string& path) const;
    bool isReady(int host) const { return get(host, "/ready").starts_with("HTTP/1.1 200"); }
    /// Publishes a configuration with these keys of the customer `acme`.
    void publish(const std::vector<std::string>& keys, double rate = 1000);

    /// The link that all hosts use to a database, and the one that a host uses to the store.
    Standins::Link& databaseLink(int database)
    {
        return *m_databaseLinks.at(static_cast<std::size_t>(database));
    }
    Standins::Link& storeLink(int host) { return *m_storeLinks.at(static_cast<std::size_t>(host)); }

    Standins::Databases& databases() { return *m_databases; }
    Standins::RowStore& store() { return *m_store; }

private:
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
    /// Links serve connections on threads that end with the process, so that they are never destroyed.
    std::vector<Standins::Link*> m_databaseLinks;
    std::vector<Standins::Link*> m_storeLinks;
    std::vector<Host> m_hosts;
    int m_version = 0;
    int m_forgetHostsAfterS = 600;
    double m_traceSampleRate = 0;
};
