#include "daemon/transactiontable.h"

#include "crypto/base64url.h"
#include "crypto/randombytes.h"

#include <algorithm>

namespace Daemon {

namespace {

    constexpr std::size_t idBytes = 12;

}

TransactionTable::TransactionTable(std::string prefix)
    : m_prefix(std::move(prefix))
{
}

std::string TransactionTable::add(OpenTransaction transaction)
{
    std::string id = m_prefix + Crypto::toBase64Url(Crypto::randomBytes(idBytes));
    m_transactions.emplace(id, std::move(transaction));
    return id;
}

const OpenTransaction* TransactionTable::find(const std::string& id, const std::string& customer) const
{
    const auto found = m_transactions.find(id);
    return found == m_transactions.end() || found->second.customer != customer ? nullptr : &found->second;
}

void TransactionTable::remove(const std::string& id) { m_transactions.erase(id); }

void TransactionTable::removeNumber(Scheduling::TransactionId number)
{
    std::erase_if(m_transactions, [number](const auto& entry) { return entry.second.number == number; });
}

std::size_t TransactionTable::count(const std::string& customer) const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        m_transactions, [&customer](const auto& entry) { return entry.second.customer == customer; }));
}

}
