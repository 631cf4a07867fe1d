#include "settings/proxysettings.h"

#include "settings/fieldreader.h"

#include <algorithm>
#include <fstream>
#include <sstream>

#include <nlohmann/json.hpp>

namespace Settings {

namespace {

    using Model::ErrorCode;
    using Model::makeError;

    constexpr int maxPort = 65535;
    constexpr int maxShutdownMs = 600000;
    constexpr int maxForgetHostsAfterS = 86400;
    constexpr int maxDescriptors = 1000000;
    constexpr int maxZones = 1000;
    /// Enough for the connections to the store, the probe, the other hosts and the upstreams, and for some
    /// callers.
    constexpr int minDescriptors = 700;
    constexpr int maxUsageWindowS = 3600;
    /// A second host has to wait for the end of the first one's lease, which takes 3.2 s.
    constexpr int minUsageDueS = 8;
    constexpr int maxMemoryMb = 1048576;
    /// A client may occupy a quarter, and a message has up to 1 MiB.
    constexpr int minClientMemoryMb = 16;
    /// The rest is for the program itself, the fleet's state and the system's buffers of the connections.
    constexpr int clientMemoryDivisor = 4;
    constexpr int unknownMachineClientMemoryMb = 256;
    constexpr int minMessageTimeoutMs = 100;
    constexpr int maxMessageTimeoutMs = 600000;
    /// A message of the greatest length has to fit.
    constexpr int minSessionKb = 1100;
    constexpr int maxSessionKb = 1048576;

}

int ProxySettings::effectiveClientMemoryMb() const
{
    if (clientMemoryMb != 0)
        return clientMemoryMb;
    if (memoryMb == 0)
        return unknownMachineClientMemoryMb;
    return std::max(minClientMemoryMb, memoryMb / clientMemoryDivisor);
}

Model::Result<ProxySettings> parseProxySettings(std::string_view json)
{
    const auto document = nlohmann::json::parse(json, nullptr, false);
    if (!document.is_object())
        return makeError(ErrorCode::InvalidRequest, "the settings are not a JSON object");
    ProxySettings settings;
    FieldReader reader(document);
    reader.text("host", settings.host, 1);
    reader.text("zone", settings.zone, 1);
    reader.address("callers", settings.callers);
    reader.address("probe", settings.probe);
    reader.text("probePath", settings.probePath, 1);
    reader.text("ip", settings.ip, 1);
    reader.range("peerPorts", settings.firstPeerPort, settings.lastPeerPort, 1, maxPort);
    reader.address("store", settings.store);
    reader.address("promoter", settings.promoter);
    reader.boolean("promoterChecksFencing", settings.promoterChecksFencing);
    reader.integer("shutdownMs", settings.shutdownMs, 0, maxShutdownMs);
    reader.integer("maxDescriptors", settings.maxDescriptors, minDescriptors, maxDescriptors);
    reader.integer("forgetHostsAfterS", settings.forgetHostsAfterS, 1, maxForgetHostsAfterS);
    reader.fraction("traceSampleRate", settings.traceSampleRate);
    reader.integer("toleratedZoneLosses", settings.toleratedZoneLosses, 0, maxZones);
    // These features make the sessions of one host depend on other hosts, so they are off by default in a
    // fleet that has to tolerate the loss of a zone.
    const bool sharesUpstreams = settings.toleratedZoneLosses == 0;
    settings.scheduleStatements = sharesUpstreams;
    settings.balanceUpstreams = sharesUpstreams;
    settings.forwardStatements = sharesUpstreams;
    reader.boolean("scheduleStatements", settings.scheduleStatements);
    reader.boolean("balanceUpstreams", settings.balanceUpstreams);
    reader.boolean("forwardStatements", settings.forwardStatements);
    reader.fraction("processorShare", settings.processorShare);
    reader.integer("usageWindowS", settings.usageWindowS, 0, maxUsageWindowS);
    reader.integer("usageDueS", settings.usageDueS, minUsageDueS, maxUsageWindowS);
    reader.integer("memoryMb", settings.memoryMb, 0, maxMemoryMb);
    reader.integer("clientMemoryMb", settings.clientMemoryMb, minClientMemoryMb, maxMemoryMb);
    reader.integer("messageTimeoutMs", settings.messageTimeoutMs, minMessageTimeoutMs, maxMessageTimeoutMs);
    reader.integer("pipelinedKb", settings.pipelinedKb, minSessionKb, maxSessionKb);
    reader.integer("sessionValuesKb", settings.sessionValuesKb, minSessionKb, maxSessionKb);
    if (!reader.error().empty())
        return makeError(ErrorCode::InvalidRequest, reader.error());
    return settings;
}

Model::Result<ProxySettings> loadProxySettings(const std::string& path)
{
    std::ifstream file(path);
    if (!file)
        return makeError(ErrorCode::InvalidRequest, "cannot read the settings file " + path);
    std::ostringstream content;
    content << file.rdbuf();
    return parseProxySettings(content.str());
}

}
