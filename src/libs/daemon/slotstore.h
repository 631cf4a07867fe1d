#pragma once

#include "core/quota/slotassignment.h"
#include "tablestore/storeclient.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Daemon {

/// Content of a row `slot/N` as last read or written.
struct SlotReading {
    Quota::SlotRow row;
    /// When the read or write finished.
    Model::Time finishedAt;
};

/// Reads and changes the rows of quota slots and reads lease rows. Not thread-safe; each access to the store
/// blocks up to the time-out of `TableStore::StoreClient`.
class SlotStore {
public:
    explicit SlotStore(const std::string& storeAddress);

    /// Returns `std::nullopt` if the store is unavailable or the row is malformed.
    std::optional<SlotReading> read(int slot);
    /// Makes `holder` the holder of the slot if the version of the row is still `epoch`. Returns the new row,
    /// or `std::nullopt` if the change did not take effect or its outcome is unknown.
    std::optional<SlotReading> change(int slot, std::uint64_t epoch, const Quota::Holder& holder);

    /// Content of a row `host/NAME`; zeros if the row does not exist.
    struct LeaseReading {
        std::uint64_t incarnation = 0;
        std::uint64_t renewal = 0;
    };
    /// Returns `std::nullopt` if the store is unavailable or the row is malformed.
    std::optional<LeaseReading> readLease(const std::string& host);

private:
    TableStore::StoreClient m_store;
};

}
