#pragma once

#include "core/quota/slotassignment.h"
#include "tablestore/storeclient.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Daemon {

/// A row `slot/N` as it was read.
struct SlotReading {
    Quota::SlotRow row;
    Model::Time finishedAt;
};

/// Reads and changes the rows of quota slots and reads lease rows. Used on one thread; calls block up to the
/// store's time limit.
class SlotStore {
public:
    explicit SlotStore(const std::string& storeAddress);

    /// Nothing if the store does not answer.
    std::optional<SlotReading> read(int slot);
    /// Makes `holder` the holder if the row is still at `epoch`. Returns the new row, or nothing if the
    /// change did not take effect or that is not known.
    std::optional<SlotReading> change(int slot, std::uint64_t epoch, const Quota::Holder& holder);

    struct LeaseReading {
        std::uint64_t incarnation = 0;
        std::uint64_t renewal = 0;
    };
    std::optional<LeaseReading> readLease(const std::string& host);

private:
    TableStore::StoreClient m_store;
};

}
