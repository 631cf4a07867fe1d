#include "proxyhost/rows.h"

#include "settings/hostsettings.h"

#include <charconv>

#include <nlohmann/json.hpp>

namespace ProxyHost {

namespace {

    constexpr std::string_view usageWindowPrefix = "window-";

    Failover::TermHistory parsePromotions(const nlohmann::json& json)
    {
        std::vector<Failover::TermStart> starts;
        for (const auto& entry : json) {
            starts.push_back({ entry.at("term").get<std::uint64_t>(), entry.at("primary").get<std::string>(),
                { entry.at("endTerm").get<std::uint64_t>(), entry.at("endPosition").get<std::uint64_t>() } });
        }
        return Failover::TermHistory(std::move(starts));
    }

}

std::string formatPromotionLeaseRow(const PromotionLeaseRow& row)
{
    nlohmann::json json { { "token", row.lease.token }, { "holder", row.lease.holder },
        { "leaseEndMs", row.lease.leaseEnd.count() }, { "nonce", row.nonce } };
    if (row.lease.primary)
        json["primary"] = *row.lease.primary;
    for (const Failover::TermStart& start : row.lease.promotions.starts()) {
        json["promotions"].push_back({ { "term", start.term }, { "primary", start.primary },
            { "endTerm", start.end.term }, { "endPosition", start.end.position } });
    }
    return json.dump();
}

PromotionLeaseRow parsePromotionLeaseRow(const std::string& value)
{
    try {
        const auto json = nlohmann::json::parse(value);
        PromotionLeaseRow row;
        row.lease.token = json.at("token").get<Failover::FencingToken>();
        row.lease.holder = json.at("holder").get<std::string>();
        row.lease.leaseEnd = Failover::StoreTime(json.at("leaseEndMs").get<std::int64_t>());
        row.nonce = json.at("nonce").get<std::uint32_t>();
        if (json.contains("primary"))
            row.lease.primary = json.at("primary").get<std::string>();
        if (json.contains("promotions"))
            row.lease.promotions = parsePromotions(json.at("promotions"));
        return row;
    } catch (const nlohmann::json::exception&) {
        return {};
    }
}

std::string formatHostRow(const HostRow& row)
{
    nlohmann::json json { { "address", row.address }, { "nonce", row.nonce },
        { "registeredAtMs", row.registeredAt.count() } };
    if (!row.forwardAddress.empty()) {
        json["zone"] = row.zone;
        json["processorShare"] = row.processorShare;
        json["forwardAddress"] = row.forwardAddress;
    }
    return json.dump();
}

HostRow parseHostRow(const std::string& value)
{
    try {
        const auto json = nlohmann::json::parse(value);
        auto address = json.at("address").get<std::string>();
        // An address that cannot be connected to would end the process.
        if (!Settings::parseAddress(address))
            return {};
        HostRow row { std::move(address), json.at("nonce").get<std::uint32_t>(),
            Failover::StoreTime(json.value("registeredAtMs", std::int64_t {})) };
        row.forwardAddress = json.value("forwardAddress", std::string());
        if (!Settings::parseAddress(row.forwardAddress))
            row.forwardAddress.clear();
        row.zone = json.value("zone", std::string());
        row.processorShare = json.value("processorShare", 0.0);
        return row;
    } catch (const nlohmann::json::exception&) {
        return {};
    }
}

std::string usageWindowKey(Usage::Window window)
{
    return std::string(usageWindowPrefix) + std::to_string(window);
}

std::optional<Usage::Window> usageWindowOfKey(const std::string& key)
{
    if (!key.starts_with(usageWindowPrefix))
        return std::nullopt;
    Usage::Window window = 0;
    const char* end = key.data() + key.size();
    const auto result = std::from_chars(key.data() + usageWindowPrefix.size(), end, window);
    if (result.ec != std::errc() || result.ptr != end)
        return std::nullopt;
    return window;
}

std::string formatUsageRow(const UsageRow& row)
{
    return nlohmann::json { { "counts", row.counts }, { "epoch", row.epoch } }.dump();
}

std::optional<UsageRow> parseUsageRow(const std::string& value)
{
    try {
        const auto json = nlohmann::json::parse(value);
        return UsageRow { json.at("counts").get<Usage::Counts>(), json.at("epoch").get<std::uint64_t>() };
    } catch (const nlohmann::json::exception&) {
        return std::nullopt;
    }
}

}
