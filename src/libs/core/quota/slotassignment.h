#pragma once

#include "core/quota/slotleases.h"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace Quota {

/// A process that holds slots. In a row that was released or never written, `host` is empty and `incarnation`
/// is 0.
struct Holder {
    std::string host;
    std::uint64_t incarnation = 0;

    bool operator==(const Holder&) const = default;
};

/// Content of the store row `slot/N`.
struct SlotRow {
    int slot = 0;
    Holder holder;
    /// Increases with each change. Changes are conditional on it.
    std::uint64_t epoch = 0;
};

/// A host as known to the membership protocol.
struct KnownHost {
    std::string name;
    /// The highest known incarnation.
    std::uint64_t incarnation = 0;
    enum class State : std::uint8_t { Alive, Leaving, Dead } state = State::Alive;
};

/// A change of a row, conditional on `epoch`. If the response is lost, the I/O layer reads the row back.
struct SlotChange {
    int slot = 0;
    std::uint64_t epoch = 0;
    enum class Kind : std::uint8_t {
        Take,
        /// The slot must be removed from the buckets before the row is changed.
        Release,
    } kind
        = Kind::Take;
};

/// Decides which slots this host takes and releases. Live hosts share the slots by rendezvous hashing. The
/// class performs no I/O: the caller applies the changes.
class SlotAssignment {
public:
    /// Limits the load on the store when many slots change their holder at once.
    static constexpr std::size_t maxTakesPerDecision = 16;
    /// A released slot grants no tokens for at least 1 s, so slots move to a joining host gradually.
    static constexpr std::size_t maxReleasesPerDecision = 2;

    explicit SlotAssignment(Holder self);

    enum class HostState : std::uint8_t { Serving, Draining };
    /// Inputs of a decision other than the leases and rows.
    struct Situation {
        StoreContact contact = StoreContact::Isolated;
        HostState state = HostState::Serving;
        std::vector<KnownHost> hosts;
        /// Holders whose lease has expired by the rule of `Membership::LeaseObserver`.
        std::vector<Holder> expiredLeases;
    };
    /// Returns the changes to attempt now, given the rows as last read; none unless the store is reachable.
    /// Must be called about once a second. A host without a valid lease takes no slots, as other hosts could
    /// not see its lease expire. A slot whose row names this process, but that was not taken under the
    /// current lease, is taken again: the new epoch also makes a pending change by another host fail.
    std::vector<SlotChange> decide(const Situation& situation, const SlotLeases& leases,
        std::span<const SlotRow> rows, Model::Time now) const;

private:
    bool mayTake(const Situation& situation, const Holder& holder) const;

    Holder m_self;
};

}
