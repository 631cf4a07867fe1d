#pragma once

#include "core/quota/slotleases.h"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace Quota {

/// A process that holds slots. Both fields are empty in a row that was released or never written.
struct Holder {
    std::string host;
    std::uint64_t incarnation = 0;

    bool operator==(const Holder&) const = default;
};

/// Content of store row `slot/N`.
struct SlotRow {
    int slot = 0;
    Holder holder;
    /// Rises with each change; a change is conditional on it.
    std::uint64_t epoch = 0;
};

/// What the membership protocol knows of a host.
struct KnownHost {
    std::string name;
    /// The newest one that is known.
    std::uint64_t incarnation = 0;
    enum class State : std::uint8_t { Alive, Leaving, Dead } state = State::Alive;
};

/// A change of a row, conditional on `epoch`. The I/O layer reads the row back if the answer is lost.
struct SlotChange {
    int slot = 0;
    std::uint64_t epoch = 0;
    enum class Kind : std::uint8_t {
        Take,
        /// The slot has to be dropped from the buckets before the row is changed.
        Release,
    } kind
        = Kind::Take;
};

/// Decides which slots a host takes and releases. It changes nothing itself.
class SlotAssignment {
public:
    /// Bounds the load on the store when many slots change hands at once.
    static constexpr std::size_t maxTakesPerDecision = 16;
    /// A released slot grants nothing for a second or more, so a host that joins gets its slots bit by bit.
    static constexpr std::size_t maxReleasesPerDecision = 2;

    explicit SlotAssignment(Holder self);

    enum class HostState : std::uint8_t { Serving, Draining };
    struct Situation {
        StoreContact contact = StoreContact::Isolated;
        HostState state = HostState::Serving;
        std::vector<KnownHost> hosts;
        /// Holders whose lease counts as expired; see `Membership::LeaseObserver`.
        std::vector<Holder> expiredLeases;
    };
    /// The changes to try now, given the rows as last read. To be called about once a second. A host without
    /// a valid lease takes no slots, as nobody could see its lease expire. A slot whose row names this
    /// process, but that was not taken under the present lease, is taken again: that also defeats a change by
    /// another host that is still under way.
    std::vector<SlotChange> decide(const Situation& situation, const SlotLeases& leases,
        std::span<const SlotRow> rows, Model::Time now) const;

private:
    bool mayTake(const Situation& situation, const Holder& holder) const;

    Holder m_self;
};

}
