#include "deployment.h"

#include "client.h"

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>

#include <nlohmann/json.hpp>

namespace Review {

namespace {

    constexpr const char* readinessPath = "/-/readiness";
    constexpr auto startLimit = std::chrono::seconds(15);
    constexpr int maxDescriptors = 4200;

    int portOf(const std::string& address) { return std::atoi(address.c_str() + address.rfind(':') + 1); }

    std::string makeFolder()
    {
        std::string name = std::filesystem::temp_directory_path() / "parsleytack-review-XXXXXX";
        return ::mkdtemp(name.data()) ? name : std::string();
    }

}

bool hasTrouble()
{
    const char* value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

Deployment::Deployment(const Settings& settings, Record& record)
    : m_record(record)
    , m_folder(makeFolder())
{
    std::signal(SIGPIPE, SIG_IGN);
    m_databases = std::make_unique<Databases>(
        settings.databases, record, [this](const std::string& id) { updateEntry(id); });
    m_platform = std::make_unique<PlatformStandin>(
        record, [this](const std::string&, const std::string& id) { return m_databases->promote(id); });
    for (const std::string& id : m_databases->ids())
        updateEntry(id);
    publish(settings);
    m_hosts.resize(static_cast<std::size_t>(settings.hosts));
    for (int i = 0; i < settings.hosts; ++i)
        startHost(i, settings);
    m_isReady = true;
    for (int i = 0; i < settings.hosts; ++i)
        m_isReady &= Integration::waitUntil([&] { return isHostReady(i); }, startLimit);
    record.write(m_isReady ? "all hosts are ready" : "the hosts did not become ready");
}

Deployment::~Deployment()
{
    // The hosts end before the stand-ins, so that these have no connections left to wait for.
    m_hosts.clear();
    m_databases.reset();
    m_platform.reset();
    std::error_code error;
    std::filesystem::remove_all(m_folder, error);
}

void Deployment::updateEntry(const std::string& id)
{
    const std::string entry = m_databases->entry(id);
    if (!entry.empty() && m_platform)
        m_platform->set("servers", id, entry);
}

void Deployment::publish(const Settings& settings)
{
    using Json = nlohmann::json;
    const auto route = [&](const std::string& name, const std::string& kind) {
        return Json { { "name", name }, { "host", name }, { "prefix", "/" }, { "routeKind", kind },
            { "timeoutMs", settings.statementTimeoutMs }, { "targetLatencyMs", 400 }, { "priority", 1 },
            { "service", settings.databases.service }, { "maxAttempts", 2 }, { "maxStalenessMs", 1500 },
            { "allowAnonymous", false } };
    };
    const Json state { { "version", 1 },
        { "routes",
            Json::array({ route(primaryRoute, "primary"), route(boundedRoute, "bounded"),
                route(ownWritesRoute, "own_writes") }) },
        { "services",
            Json::array({ { { "name", settings.databases.service }, { "healthPath", "/health" },
                { "maxConns", 48 }, { "coldStartS", 0.0 }, { "coldPerS", 0.0 },
                { "syncReplicas", settings.databases.syncReplicas } } }) },
        { "limits", { { "txIdleMs", 3000 } } },
        { "tenants",
            Json::array({ { { "name", "acme" }, { "apiKeys", Json::array({ key }) }, { "priority", 1 },
                { "ratePerS", 2000 }, { "burst", 2000 } } }) } };
    m_platform->set("op", "config", state.dump());
}

void Deployment::startHost(int index, const Settings& settings)
{
    Host& host = m_hosts.at(static_cast<std::size_t>(index));
    host.front = std::make_unique<Integration::ReservedPort>();
    host.ready = std::make_unique<Integration::ReservedPort>();
    host.peers = std::make_unique<Integration::ReservedPort>();
    const int peerPort = portOf(host.peers->address());
    const std::string name = "front-" + std::to_string(index);
    const auto& zones = settings.databases.zones;
    // The fields of platform/settings.json.in, as the platform fills them in.
    const nlohmann::json content { { "host", name },
        { "zone", zones.at(static_cast<std::size_t>(index) % zones.size()) },
        { "callers", host.front->address() }, { "probe", host.ready->address() },
        { "probePath", readinessPath }, { "ip", "127.0.0.1" }, { "peerPorts", { peerPort, peerPort } },
        { "store", m_platform->address() }, { "promoter", m_platform->address() },
        { "promoterChecksFencing", true }, { "shutdownMs", settings.graceS * 1000 },
        { "maxDescriptors", maxDescriptors } };
    const std::string settingsFile = m_folder + "/" + name + ".json";
    std::ofstream(settingsFile) << content.dump();
    host.process = std::make_unique<HostProcess>(settingsFile, m_folder + "/" + name + ".log");
    m_record.write("started " + name);
}

bool Deployment::isHostReady(int host) const
{
    Client client(m_hosts.at(static_cast<std::size_t>(host)).ready->address());
    client.send(
        std::string("GET ") + readinessPath + " HTTP/1.1\r\nHost: 127.0.0.1\r\nConnection: close\r\n\r\n");
    return client.line().value_or("").starts_with("HTTP/1.1 200");
}

}
