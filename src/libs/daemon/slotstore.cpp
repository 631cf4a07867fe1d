#include "daemon/slotstore.h"

#include "crypto/base64url.h"
#include "crypto/randombytes.h"
#include "daemon/clock.h"

#include <nlohmann/json.hpp>

namespace Daemon {

using Json = nlohmann::json;

namespace {

    constexpr std::size_t nonceBytes = 12;

    std::string rowKey(int slot) { return "slot/" + std::to_string(slot); }

    std::optional<Quota::Holder> parseHolder(const TableStore::Row& row)
    {
        if (row.version == 0)
            return Quota::Holder {};
        const Json json = Json::parse(row.value, nullptr, false);
        if (!json.is_object())
            return std::nullopt;
        return Quota::Holder { json.value("host", std::string()),
            json.value("incarnation", std::uint64_t { 0 }) };
    }

}

SlotStore::SlotStore(const std::string& storeAddress)
    : m_store(storeAddress)
{
}

std::optional<SlotReading> SlotStore::read(int slot)
{
    const auto row = m_store.row(rowKey(slot));
    const auto holder = row ? parseHolder(*row) : std::nullopt;
    if (!holder)
        return std::nullopt;
    return SlotReading { { slot, *holder, row->version }, steadyNow() };
}

std::optional<SlotReading> SlotStore::change(int slot, std::uint64_t epoch, const Quota::Holder& holder)
{
    const Json value { { "host", holder.host }, { "incarnation", holder.incarnation } };
    const std::string nonce = Crypto::toBase64Url(Crypto::randomBytes(nonceBytes));
    TableStore::PutResult put = m_store.putRow(rowKey(slot), { epoch, nonce, value.dump() });
    if (put.status == TableStore::PutStatus::Unknown) {
        // The response was lost; the nonce in the row shows whether the change took effect.
        if (const auto row = m_store.row(rowKey(slot)); row && row->nonce == nonce)
            put = { TableStore::PutStatus::Done, *row };
    }
    if (put.status != TableStore::PutStatus::Done)
        return std::nullopt;
    return SlotReading { { slot, holder, put.row.version }, steadyNow() };
}

std::optional<SlotStore::LeaseReading> SlotStore::readLease(const std::string& host)
{
    const auto row = m_store.row("host/" + host);
    if (!row)
        return std::nullopt;
    const Json json = row->version > 0 ? Json::parse(row->value, nullptr, false) : Json::object();
    if (!json.is_object())
        return std::nullopt;
    return LeaseReading { json.value("incarnation", std::uint64_t { 0 }),
        json.value("renewal", std::uint64_t { 0 }) };
}

}
