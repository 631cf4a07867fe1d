#include "settings/hostsettings.h"

#include <charconv>
#include <fstream>
#include <set>
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
    constexpr std::size_t curveKeySize = 40;

    /// Reads fields one after the other and keeps the first error.
    class FieldReader {
    public:
        explicit FieldReader(const Json& object)
            : m_object(object)
        {
        }

        void text(const char* name, std::string& value, std::size_t minSize, bool isRequired = true)
        {
            const Json* field = find(name, isRequired);
            if (!field)
                return;
            if (!field->is_string() || field->get_ref<const std::string&>().size() < minSize)
                return fail(name, "a text of at least " + std::to_string(minSize) + " characters");
            value = field->get<std::string>();
        }

        void curveKey(const char* name, std::string& value)
        {
            text(name, value, curveKeySize);
            if (m_error.empty() && value.size() != curveKeySize)
                fail(name, "a Z85 key of 40 characters");
        }

        void address(const char* name, Address& value)
        {
            std::string read;
            text(name, read, 1);
            if (!m_error.empty())
                return;
            const auto parsed = parseAddress(read);
            if (!parsed)
                return fail(name, "an address of the form IP:PORT");
            value = *parsed;
        }

        void addresses(const char* name, std::vector<Address>& value)
        {
            const Json* field = find(name, false);
            if (!field)
                return;
            if (!field->is_array())
                return fail(name, "a list of addresses");
            for (const Json& item : *field) {
                const auto parsed
                    = item.is_string() ? parseAddress(item.get<std::string>()) : parseAddress("");
                if (!parsed)
                    return fail(name, "a list of addresses of the form IP:PORT");
                value.push_back(*parsed);
            }
        }

        void integer(const char* name, int& value, int minimum, int maximum)
        {
            const Json* field = find(name, false);
            if (!field)
                return;
            const bool isInRange = field->is_number_integer() && field->get<std::int64_t>() >= minimum
                && field->get<std::int64_t>() <= maximum;
            if (!isInRange)
                return fail(
                    name, "an integer from " + std::to_string(minimum) + " to " + std::to_string(maximum));
            value = field->get<int>();
        }

        void fraction(const char* name, double& value)
        {
            const Json* field = find(name, false);
            if (!field)
                return;
            if (!field->is_number() || field->get<double>() < 0 || field->get<double>() > 1)
                return fail(name, "a number from 0 to 1");
            value = field->get<double>();
        }

        void refuseUnknown()
        {
            for (const auto& [name, value] : m_object.items()) {
                if (!m_known.contains(name))
                    return fail(name, "no such field");
            }
        }

        const std::string& error() const { return m_error; }

    private:
        const Json* find(const char* name, bool isRequired)
        {
            m_known.insert(name);
            if (!m_error.empty())
                return nullptr;
            const auto found = m_object.find(name);
            if (found != m_object.end())
                return &*found;
            if (isRequired)
                fail(name, "the field is missing");
            return nullptr;
        }

        void fail(const std::string& name, const std::string& expected)
        {
            if (m_error.empty())
                m_error = "settings field \"" + name + "\": " + expected;
        }

        const Json& m_object;
        std::set<std::string> m_known;
        std::string m_error;
    };

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
        return makeError(ErrorCode::InvalidRequest, "not a port: " + std::string(port));
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
    reader.refuseUnknown();
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
