#include "admin/adminformat.h"

#include <nlohmann/json.hpp>

namespace Admin {

namespace {

    using Json = nlohmann::ordered_json;

    /// Serializes a document. Names in messages may contain invalid UTF-8 that an operator sent by mistake,
    /// so invalid bytes are replaced instead of throwing an exception.
    std::string text(const Json& json) { return json.dump(-1, ' ', false, Json::error_handler_t::replace); }

    Json done() { return { { "outcome", outcomeName(Model::Outcome::Done) } }; }

    Json faultJson(const Catalog::Fault& fault)
    {
        return { { "type", objectTypeName(fault.type) }, { "name", fault.name }, { "field", fault.field },
            { "message", fault.message } };
    }

}

std::string formatError(const AdminError& adminError)
{
    const Model::ErrorInfo& info = adminError.error.info();
    Json json { { "outcome", outcomeName(info.outcome) }, { "code", info.name },
        { "message", adminError.error.message } };
    if (adminError.version != 0)
        json["version"] = adminError.version;
    for (const Catalog::Fault& fault : adminError.faults)
        json["faults"].push_back(faultJson(fault));
    return text(json);
}

std::string formatResponse(const PublishedVersion& published)
{
    Json json = done();
    json["version"] = published.version;
    json["hash"] = published.hash;
    return text(json);
}

std::string formatResponse(const CurrentDocument& current)
{
    Json json = done();
    json["version"] = current.version;
    json["hash"] = current.hash;
    std::string result = text(json);
    result.pop_back();
    return result + ",\"document\":" + current.document + "}";
}

std::string formatResponse(const std::vector<HistoryEntry>& history)
{
    Json json = done();
    json["versions"] = Json::array();
    for (const HistoryEntry& entry : history)
        json["versions"].push_back({ { "version", entry.version }, { "fromVersion", entry.fromVersion },
            { "hash", entry.hash }, { "nonce", entry.nonce }, { "objects", entry.objects } });
    return text(json);
}

std::string formatResponse(const GrantedKey& granted)
{
    Json json = done();
    json["version"] = granted.version;
    json["key"] = granted.key;
    return text(json);
}

std::string formatResponse(const Status& status)
{
    Json json = done();
    json["host"] = status.host;
    json["zone"] = status.zone;
    json["contact"] = status.contact;
    json["version"] = status.version;
    json["announcedVersion"] = status.announcedVersion;
    json["hosts"] = Json::array();
    for (const HostStatus& host : status.hosts)
        json["hosts"].push_back({ { "name", host.name }, { "zone", host.zone }, { "state", host.state } });
    json["services"] = Json::array();
    for (const ServiceStatus& service : status.services)
        json["services"].push_back({ { "name", service.name }, { "owner", service.owner },
            { "primary", service.primary }, { "term", service.term } });
    return text(json);
}

std::string formatResponse(std::uint64_t version)
{
    Json json = done();
    json["version"] = version;
    return text(json);
}

}
