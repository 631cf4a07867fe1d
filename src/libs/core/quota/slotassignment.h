#pragma once

#include "core/model/time.h"
#include "core/quota/shards.h"

#include <cstdint>
#include <optional>
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

enum class StoreContact : std::uint8_t {
    /// Rows may be changed.
    Connected,
    /// The store is down for everybody, so nobody can take a slot.
    Outage,
    Isolated,
};

constexpr Model::Duration leasePeriod = std::chrono::seconds(30);
constexpr Model::Duration leaseMargin = std::chrono::seconds(5);

struct LeaseState {
    /// When the host began its last successful lease renewal; empty before the first one.
    std::optional<Model::Time> renewalStarted;
    /// The newest successful store access of any host that this host has heard of since it last ran without
    /// a pause.
    Model::Time lastStoreSuccess;
};

/// Whether a host may serve the slots it holds. In an outage nobody can take a slot, but one may have been
/// taken before: so the lease has to have been valid when the store last answered anyone.
bool mayServeSlots(const LeaseState& lease, StoreContact contact, Model::Time now);

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
        /// A host without a valid lease takes no slots: nobody could see its lease expire.
        LeaseState lease;
        std::vector<KnownHost> hosts;
        /// Holders whose lease counts as expired; see `LeaseWatch`.
        std::vector<Holder> expiredLeases;
    };
    /// The changes to try now, given the rows as last read. To be called about once a second. The I/O layer
    /// serves exactly the slots whose row, as last read, names this process.
    std::vector<SlotChange> decide(
        const Situation& situation, std::span<const SlotRow> rows, Model::Time now) const;

private:
    bool mayTake(const Situation& situation, const Holder& holder) const;

    Holder m_self;
};

}
