#pragma once

#include "core/scheduling/connectionpool.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Daemon {

struct OpenTransaction {
    /// Id of the transaction in the connection pool of the upstream.
    Scheduling::TransactionId number = 0;
    std::string customer;
    std::string keyName;
    std::string upstream;
    std::uint64_t term = 0;
};

/// The open transactions of one group by the id that callers use. Not thread-safe: the caller holds the
/// group's mutex.
class TransactionTable {
public:
    /// Ids begin with `prefix`, which identifies the process; the rest is random, so that it cannot be
    /// guessed.
    explicit TransactionTable(std::string prefix);

    Scheduling::TransactionId reserveNumber() { return ++m_lastNumber; }
    /// Returns the id for the caller.
    std::string add(OpenTransaction transaction);
    /// Null if the transaction does not exist or belongs to another customer.
    const OpenTransaction* find(const std::string& id, const std::string& customer) const;
    void remove(const std::string& id);
    /// Removes the transaction with this number, if there is one.
    void removeNumber(Scheduling::TransactionId number);

    /// Number of open transactions of the customer.
    std::size_t count(const std::string& customer) const;
    std::size_t size() const { return m_transactions.size(); }
    const std::map<std::string, OpenTransaction>& all() const { return m_transactions; }

private:
    std::string m_prefix;
    Scheduling::TransactionId m_lastNumber = 0;
    std::map<std::string, OpenTransaction> m_transactions;
};

}
