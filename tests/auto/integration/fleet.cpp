#include "fleet.h"

#include "core/catalog/keyhasher.h"
#include "core/catalog/parsedocument.h"
#include "core/catalog/version.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>

#include <gtest/gtest.h>
#include <zmq.h>

namespace Integration {

namespace {

    // Length of a key in Z85 encoding, with the terminating zero: zmq_curve_keypair(3).
    constexpr std::size_t curveKeySize = 41;
    constexpr std::size_t maxPrintedLogBytes = 6000;
    constexpr const char* operatorSecret = "operator-secret-of-the-tests";
    // Databases 0 and 2 and host 0 are in zone-a, the others in zone-b.
    constexpr std::array databaseZones { "zone-a", "zone-b", "zone-a" };
    constexpr std::array hostZones { "zone-a", "zone-b", "zone-b" };

    std::string makeDirectory()
    {
        std::string pattern = testing::TempDir() + "parsleytack-XXXXXX";
        return mkdtemp(pattern.data());
    }

    Json customer(const std::string& name, int rate, int burst)
    {
        return { { "name", name }, { "rate", rate }, { "burst", burst } };
    }

}

const std::string Fleet::fleetSecret = "fleet-secret-of-the-integration-tests";

Fleet::Fleet(const FleetOptions& options)
    : m_directory(makeDirectory())
{
    std::array<char, curveKeySize> publicKey {};
    std::array<char, curveKeySize> secretKey {};
    zmq_curve_keypair(publicKey.data(), secretKey.data());
    m_curvePublicKey = publicKey.data();
    m_curveSecretKey = secretKey.data();
    document = makeDocument(options);

    m_store = launch(PLATFORM_STANDIN, "store", { "--address", m_storePort.address() });
    std::vector<std::string> links { "--control", m_linkControl.address() };
    for (int index = 0; index < size; ++index) {
        const std::string address = m_databasePorts[index].address();
        const std::string name = "db" + std::to_string(index);
        m_databases[index] = launch(DATABASE_STANDIN, name,
            { "--address", address, "--name", name, "--slots", "2", "--limit", "15", "--service-ms",
                std::to_string(options.serviceMs), "--lag-ms", std::to_string(options.lagMs) });
        std::string link = name;
        link.append("=").append(m_linkPorts[index].address()).append("=").append(address);
        links.insert(links.end(), { "--link", link });
    }
    m_faultProxy = launch(FAULT_PROXY, "faultproxy", links);
}

Fleet::~Fleet()
{
    if (testing::Test::HasFailure()) {
        for (const auto& entry : std::filesystem::directory_iterator(m_directory)) {
            std::ifstream file(entry.path());
            const std::string content { std::istreambuf_iterator<char>(file), {} };
            const std::size_t start
                = content.size() > maxPrintedLogBytes ? content.size() - maxPrintedLogBytes : 0;
            std::cerr << "---- " << entry.path().filename() << "\n" << content.substr(start) << "\n";
        }
    }
    for (auto* processes : { &m_hosts, &m_databases }) {
        for (auto& process : *processes)
            process.reset();
    }
    m_faultProxy.reset();
    m_store.reset();
    std::filesystem::remove_all(m_directory);
}

std::string Fleet::writeFile(const std::string& name, const std::string& content) const
{
    std::string path = m_directory + "/" + name;
    std::ofstream(path) << content;
    return path;
}

std::unique_ptr<Process> Fleet::launch(
    const char* program, const std::string& name, std::vector<std::string> arguments) const
{
    return std::make_unique<Process>(program, std::move(arguments), m_directory + "/" + name + ".log");
}

Json Fleet::makeDocument(const FleetOptions& options) const
{
    Json result;
    const Catalog::KeyHasher hasher(fleetSecret);
    result["customers"]
        = { customer("alpha", 100000, 10000), customer("beta", 100000, 10000), customer("small", 1, 2) };
    for (const char* name : { "alpha", "beta", "small" }) {
        result["keys"].push_back({ { "name", std::string(name) + "-1" }, { "customer", name },
            { "hash", hasher.hash(keyOf(name)) } });
    }
    for (int index = 0; index < size; ++index) {
        result["upstreams"].push_back(
            { { "name", "db" + std::to_string(index) }, { "address", m_linkPorts[index].address() },
                { "zone", databaseZones[index] }, { "slots", 2 }, { "connections", 15 } });
    }
    result["services"] = { { { "name", "orders" }, { "upstreams", { "db0", "db1", "db2" } } } };
    result["zones"]
        = { { { "name", "zone-a" }, { "region", "r" } }, { { "name", "zone-b" }, { "region", "r" } } };
    result["routes"]
        = { { { "name", "main" }, { "service", "orders" }, { "customers", { "alpha", "small" } } },
              { { "name", "public" }, { "service", "orders" }, { "open", true } } };
    result["limits"] = { { "queuedPerCustomer", options.queuedPerCustomer },
        { "openTransactions", options.openTransactions },
        { "transactionIdleMs", options.transactionIdleMs } };
    return result;
}

Json Fleet::makeSettings(int index) const
{
    const HostPorts& ports = m_hostPorts[index];
    Json settings { { "host", "host" + std::to_string(index) }, { "zone", hostZones[index] },
        { "callers", ports.callers.address() }, { "operators", ports.operators.address() },
        { "peers", ports.peers.address() }, { "store", m_storePort.address() },
        { "fleetSecret", fleetSecret }, { "operatorSecret", operatorSecret },
        { "curvePublicKey", m_curvePublicKey }, { "curveSecretKey", m_curveSecretKey },
        { "traceSampleRate", 0 } };
    for (int other = 0; other < size; ++other) {
        if (other != index)
            settings["seeds"].push_back(peerAddress(other));
    }
    return settings;
}

bool Fleet::start()
{
    if (!waitUntil([this] { return fetch("GET", m_storePort.address(), "/hosts").isDone(); }))
        return false;
    for (int index = 0; index < size; ++index)
        startHost(index);
    if (!publish(document))
        return false;
    for (int index = 0; index < size; ++index) {
        if (!waitUntilServing(index))
            return false;
    }
    return true;
}

void Fleet::startHost(int index)
{
    const std::string name = "host" + std::to_string(index);
    const Json registration { { "address", peerAddress(index) }, { "zone", hostZones[index] } };
    fetch("PUT", m_storePort.address(), "/hosts/" + name, registration.dump());
    const std::string settings = writeFile(name + ".json", makeSettings(index).dump());
    m_hosts[index] = launch(PARSLEYTACKD, name, { "--settings", settings });
}

bool Fleet::waitUntilServing(int index) const
{
    Caller caller(keyOf("alpha"));
    Reply reply;
    const bool isServing = waitUntil([&] {
        reply = caller.write(host(index), "PUT ready 1");
        return reply.isDone();
    });
    if (!isServing)
        std::cerr << "host" << index << " responds with status " << reply.status << " " << reply.text << "\n";
    return isServing;
}

std::vector<std::string> Fleet::hosts() const { return { host(0), host(1), host(2) }; }

std::optional<int> Fleet::owner() const
{
    for (int index = 0; index < size; ++index) {
        const std::string log = m_hosts[index] ? m_hosts[index]->output() : "";
        const std::size_t gained = log.rfind("\"ownership_gained\"");
        const std::size_t lost = log.rfind("\"ownership_lost\"");
        if (gained != std::string::npos && (lost == std::string::npos || lost < gained))
            return index;
    }
    return std::nullopt;
}

Json Fleet::controlDatabase(int index, const Json& faults) const
{
    return fetch("POST", m_databasePorts[index].address(), "/_control", faults.dump()).body;
}

Json Fleet::controlLink(int index, const Json& faults) const
{
    Json body = faults;
    if (index >= 0)
        body["link"] = "db" + std::to_string(index);
    return fetch("POST", m_linkControl.address(), "/_control", body.dump()).body;
}

Json Fleet::controlStore(const Json& faults) const
{
    return fetch("POST", m_storePort.address(), "/_control", faults.dump()).body;
}

std::optional<int> Fleet::primary() const
{
    std::optional<int> result;
    std::uint64_t highestTerm = 0;
    for (int index = 0; index < size; ++index) {
        HttpClient client;
        const Reply state = client.send(
            "GET", m_databasePorts[index].address(), "/_control", {}, {}, std::chrono::milliseconds(500));
        const std::uint64_t term = state.isDone() ? state.body["promisedTerm"].get<std::uint64_t>() : 0;
        if (term > highestTerm)
            result.reset();
        highestTerm = std::max(highestTerm, term);
        if (term == highestTerm && state.isDone() && state.body["role"] == "primary")
            result = index;
    }
    return result;
}

std::string Fleet::readFinal(const std::string& key) const
{
    waitUntil([this] { return primary().has_value(); });
    const std::string& address = m_databasePorts[primary().value_or(0)].address();
    return fetch("GET", address, "/_control?key=" + key).body.value("value", "");
}

Reply Fleet::requestAsOperator(
    int index, const std::string& method, const std::string& path, const std::string& body) const
{
    return fetch(method, m_hostPorts[index].operators.address(), path, body,
        { std::string("Authorization: Bearer ") + operatorSecret });
}

bool Fleet::publish(const Json& changed) const
{
    const auto parsed = Catalog::parseDocument(changed.dump());
    if (!parsed)
        return false;
    const std::string& store = m_storePort.address();
    const Reply stored = fetch("GET", store, "/table/catalog/current");
    const auto current
        = stored.isDone() ? Catalog::parseRow(stored.body.value("value", "")) : Catalog::CurrentRow {};
    if (!current)
        return false;
    const Catalog::Version version { current->version + 1, current->hash, "test", *parsed };
    const Catalog::CurrentRow row { version.number, Catalog::versionHash(version), "test", current->hash };
    const Json put { { "version", stored.body.value("version", 0) }, { "nonce", row.hash },
        { "value", Catalog::rowText(row) } };
    return fetch("PUT", store, "/object/" + row.hash, Catalog::canonicalText(version)).isDone()
        && fetch("PUT", store, "/table/catalog/current", put.dump()).isDone();
}

}
