#include "settings/hostsettings.h"

#include "settings/fieldreader.h"

#include <charconv>
#include <fstream>
#include <sstream>

#include <arpa/inet.h>
#include <nlohmann/json.hpp>

namespace Settings {

namespace {

    using Json = nlohmann::json;
    using Model::ErrorCode;
    using Model::makeError;

    constexpr std::size_t minFleetSecretSize = 32;
    constexpr std::size_t minOperatorSecretSize = 16;

}

Model::Result<Address> parseAddress(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return makeError(ErrorCode::InvalidRequest, "an address has the form IP:PORT");
    Address address { std::string(text.substr(0, colon)), 0 };
    in_addr parsed {};
    if (inet_pton(AF_INET, address.ip.c_str(), &parsed) != 1)
        return makeError(ErrorCode::InvalidRequest, "not an IPv4 address: " + address.ip);
    const std::string_view port = text.substr(colon + 1);
    const auto [end, error] = std::from_chars(port.data(), port.data() + port.size(), address.port);
    if (error != std::errc() || end != port.data() + port.size() || address.port == 0)
        return makeError(ErrorCode::InvalidRequest, "not a port from 1 to 65535: " + std::string(port));
    return address;
}

Model::Result<HostSettings> parseHostSettings(std::string_view json)
{
    const Json document = Json::parse(json, nullptr, false);
    if (!document.is_object())
        return makeError(ErrorCode::InvalidRequest, "the settings are not a JSON object");
    HostSettings settings;
    FieldReader reader(document);
    reader.text("host", settings.host, 1);
    reader.text("zone", settings.zone, 1);
    reader.address("callers", settings.callers);
    reader.address("operators", settings.operators);
    reader.address("peers", settings.peers);
    reader.address("store", settings.store);
    reader.addresses("seeds", settings.seeds);
    reader.text("fleetSecret", settings.fleetSecret, minFleetSecretSize);
    reader.text("operatorSecret", settings.operatorSecret, minOperatorSecretSize);
    reader.curveKey("curvePublicKey", settings.curvePublicKey);
    reader.curveKey("curveSecretKey", settings.curveSecretKey);
    reader.text("logFile", settings.logFile, 0, false);
    reader.fraction("traceSampleRate", settings.traceSampleRate);
    reader.integer("maxCallerConnections", settings.maxCallerConnections, 1, 100000);
    reader.integer("callerStackKib", settings.callerStackKib, 128, 8192);
    reader.integer("drainTimeoutMs", settings.drainTimeoutMs, 0, 600000);
    reader.refuseUnknownFields();
    if (!reader.error().empty())
        return makeError(ErrorCode::InvalidRequest, reader.error());
    return settings;
}

Model::Result<HostSettings> loadHostSettings(const std::string& path)
{
    std::ifstream file(path);
    if (!file)
        return makeError(ErrorCode::InvalidRequest, "cannot read the settings file " + path);
    std::ostringstream content;
    content << file.rdbuf();
    return parseHostSettings(content.str());
}

}
