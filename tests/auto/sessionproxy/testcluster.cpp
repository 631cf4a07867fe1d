#include "testcluster.h"

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <thread>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <nlohmann/json.hpp>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

namespace {

constexpr int receiveTimeoutSeconds = 5;

int connectTo(const std::string& address, int receiveBuffer)
{
    const std::size_t colon = address.rfind(':');
    sockaddr_in target {};
    target.sin_family = AF_INET;
    target.sin_port = htons(static_cast<std::uint16_t>(std::atoi(address.c_str() + colon + 1)));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &target.sin_addr);
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const timeval limit { receiveTimeoutSeconds, 0 };
    setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    if (receiveBuffer > 0)
        setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof receiveBuffer);
    if (::connect(socket, reinterpret_cast<sockaddr*>(&target), sizeof target) == 0)
        return socket;
    ::close(socket);
    return -1;
}

std::string temporaryFile(const std::string& name)
{
    static int count = 0;
    return "/tmp/parsleytack-sessionproxy-" + std::to_string(getpid()) + "-" + std::to_string(++count) + "-"
        + name;
}

}

Client::Client(const std::string& address, int receiveBuffer)
    : m_socket(connectTo(address, receiveBuffer))
{
}

Client::~Client()
{
    if (m_socket >= 0)
        ::close(m_socket);
}

void Client::sendRaw(const std::string& bytes) const
{
    if (m_socket >= 0 && ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL) < 0)
        return;
}

std::optional<std::string> Client::line()
{
    char buffer[4096];
    while (m_socket >= 0) {
        const std::size_t end = m_buffer.find("\r\n");
        if (end != std::string::npos) {
            std::string result = m_buffer.substr(0, end);
            m_buffer.erase(0, end + 2);
            return result;
        }
        const ssize_t size = ::recv(m_socket, buffer, sizeof buffer, 0);
        if (size <= 0)
            return std::nullopt;
        m_buffer.append(buffer, static_cast<std::size_t>(size));
    }
    return std::nullopt;
}

std::string Client::open(const std::string& database, const std::string& key)
{
    sendRaw("STARTUP " + database + " " + key + "\r\n");
    return line().value_or("");
}

std::vector<std::string> Client::query(const std::string& text)
{
    sendRaw("QUERY id" + std::to_string(++m_lastId) + " " + text + "\r\n");
    std::vector<std::string> answer;
    while (auto next = line()) {
        const bool isLast = next->starts_with("READY");
        answer.push_back(std::move(*next));
        if (isLast)
            break;
    }
    return answer;
}

bool isComplete(const std::vector<std::string>& answer)
{
    return answer.size() >= 2 && answer[answer.size() - 2].starts_with("COMPLETE")
        && answer.back().starts_with("READY");
}

std::string errorCode(const std::vector<std::string>& answer)
{
    if (answer.empty() || !answer[0].starts_with("ERROR "))
        return {};
    const std::string rest = answer[0].substr(6);
    return rest.substr(0, rest.find(' '));
}

TestCluster::TestCluster(int hosts, Path path, Fencing fencing, std::map<std::string, int> limits)
    : m_fencing(fencing)
    , m_limits(std::move(limits))
{
    m_store = std::make_unique<Standins::RowStore>(
        [this](const std::string&, const std::string& id) { return m_databases->promote(id); });
    m_databases = std::make_unique<Standins::Databases>(
        "ledger", 3, [this](const std::string& id) { registerDatabase(id); });
    if (path == Path::Links) {
        for (const std::string& id : m_databases->ids())
            m_databaseLinks.push_back(startLink(m_databases->address(id)));
        for (int i = 0; i < hosts; ++i)
            m_storeLinks.push_back(startLink(m_store->address()));
    }
    for (const std::string& id : m_databases->ids())
        registerDatabase(id);
    publish({ "key-1", "key-2" });
    m_hosts.resize(static_cast<std::size_t>(hosts));
    for (int i = 0; i < hosts; ++i) {
        Host& host = m_hosts[static_cast<std::size_t>(i)];
        host.callers = std::make_unique<Integration::ReservedPort>();
        host.probe = std::make_unique<Integration::ReservedPort>();
        host.peers = std::make_unique<Integration::ReservedPort>();
        startHost(i);
    }
    for (int i = 0; i < hosts; ++i)
        Integration::waitUntil([&] { return isReady(i); });
}

Standins::Link* TestCluster::startLink(const std::string& target)
{
    const std::size_t colon = target.rfind(':');
    const auto port = static_cast<std::uint16_t>(std::atoi(target.c_str() + colon + 1));
    auto* link = new Standins::Link(target, { "127.0.0.1", 0 }, { target.substr(0, colon), port });
    std::thread([link] { link->run(); }).detach();
    return link;
}

void TestCluster::registerDatabase(const std::string& id)
{
    std::string address = m_databases->address(id);
    if (!m_databaseLinks.empty()) {
        const auto ids = m_databases->ids();
        const auto index = std::ranges::find(ids, id) - ids.begin();
        address = "127.0.0.1:" + std::to_string(databaseLink(static_cast<int>(index)).port());
    }
    const nlohmann::json entry { { "service", "ledger" }, { "address", address }, { "zone", "north" },
        { "version", "v1" }, { "slots", 2 }, { "state", "ready" }, { "coldLeftMs", 0 },
        { "dbRole", m_databases->isPrimary(id) ? "primary" : "replica" }, { "seq", 1 }, { "born", 1 } };
    m_store->set("servers", id, entry.dump());
}

void TestCluster::publish(const std::vector<std::string>& keys, double rate)
{
    const auto route = [this](const std::string& database, const std::string& kind) {
        return nlohmann::json { { "name", database }, { "host", database }, { "routeKind", kind },
            { "timeoutMs", m_statementTimeout.count() }, { "targetLatencyMs", 200 }, { "priority", 1 },
            { "service", "ledger" }, { "maxStalenessMs", 1500 }, { "allowAnonymous", false } };
    };
    nlohmann::json routes { route("strict", "primary"), route("bounded", "bounded"),
        route("own", "own_writes") };
    for (int i = 0; i < m_furtherRoutes; ++i)
        routes.push_back(route("further-" + std::to_string(i), "bounded"));
    const nlohmann::json state { { "version", ++m_version }, { "routes", routes },
        { "services",
            { { { "name", "ledger" }, { "maxConns", 40 }, { "syncReplicas", m_synchronousReplicas } } } },
        { "limits", { { "txIdleMs", 3000 } } },
        { "tenants",
            { { { "name", "acme" }, { "apiKeys", keys }, { "ratePerS", rate }, { "burst", rate } } } } };
    m_store->set("op", "config", state.dump());
}

void TestCluster::startHost(int index)
{
    Host& host = m_hosts.at(static_cast<std::size_t>(index));
    const auto portOf
        = [](const std::string& address) { return std::atoi(address.c_str() + address.rfind(':') + 1); };
    const int peerPort = portOf(host.peers->address());
    const std::string name = "host-" + std::to_string(index);
    const std::string store
        = m_storeLinks.empty() ? m_store->address() : "127.0.0.1:" + std::to_string(storeLink(index).port());
    nlohmann::json settings { { "host", name }, { "zone", "north" }, { "callers", host.callers->address() },
        { "probe", host.probe->address() }, { "probePath", "/ready" }, { "ip", "127.0.0.1" },
        { "peerPorts", { peerPort, peerPort + furtherPeerPorts } }, { "store", store }, { "promoter", store },
        { "promoterChecksFencing", m_fencing == Fencing::Promoter }, { "shutdownMs", 4000 },
        { "forgetHostsAfterS", m_forgetHostsAfterS }, { "traceSampleRate", m_traceSampleRate },
        { "usageWindowS", m_usageWindowS } };
    for (const auto& [field, value] : m_limits)
        settings[field] = value;
    const std::string file = temporaryFile(name + ".json");
    std::ofstream(file) << settings.dump();
    host.process = std::make_unique<Integration::Process>(PARSLEYTACKD,
        std::vector<std::string> { "--session-proxy", "--settings", file }, temporaryFile(name + ".log"));
}

std::string TestCluster::get(int host, const std::string& path) const
{
    Client client(m_hosts.at(static_cast<std::size_t>(host)).probe->address());
    client.sendRaw("GET " + path + " HTTP/1.1\r\nHost: test\r\nConnection: close\r\n\r\n");
    std::string text;
    while (const auto line = client.line())
        text += *line + "\r\n";
    return text + client.rest();
}
