#include "proxyhost/rows.h"

#include <nlohmann/json.hpp>

namespace ProxyHost {

std::string formatDutyRow(const DutyRow& row)
{
    return nlohmann::json {
        { "token", row.duty.token }, { "holder", row.duty.holder },
        { "leaseEndMs", row.duty.leaseEnd.count() }, { "nonce", row.nonce }
    }.dump();
}

DutyRow parseDutyRow(const std::string& value)
{
    try {
        const auto json = nlohmann::json::parse(value);
        DutyRow row;
        row.duty.token = json.at("token").get<Failover::FencingToken>();
        row.duty.holder = json.at("holder").get<std::string>();
        row.duty.leaseEnd = Failover::StoreTime(json.at("leaseEndMs").get<std::int64_t>());
        row.nonce = json.at("nonce").get<std::uint32_t>();
        return row;
    } catch (const nlohmann::json::exception&) {
        return {};
    }
}

std::string formatHostRow(const HostRow& row)
{
    return nlohmann::json { { "address", row.address }, { "nonce", row.nonce } }.dump();
}

HostRow parseHostRow(const std::string& value)
{
    try {
        const auto json = nlohmann::json::parse(value);
        return { json.at("address").get<std::string>(), json.at("nonce").get<std::uint32_t>() };
    } catch (const nlohmann::json::exception&) {
        return {};
    }
}

}
