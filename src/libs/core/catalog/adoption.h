#pragma once

#include "core/catalog/history.h"
#include "core/catalog/memberchangelog.h"
#include "core/catalog/version.h"
#include "core/model/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace Catalog {

enum class RefusalReason : std::uint8_t {
    /// The version in force is not lower than the offered one.
    NotNewer,
    /// The delta is based on another version than the one in force: pull the whole document.
    BaseMismatch,
    /// The content does not have the stated hash: pull the whole document, or ask another peer.
    HashMismatch,
    /// The document is malformed or does not pass `check`.
    Inconsistent,
};

/// Why an offered version was not adopted.
struct Refusal {
    RefusalReason reason;
    std::string message;
};

using AdoptionResult = tl::expected<SnapshotPointer, Refusal>;

/// Verifies offered versions and puts them into force on this host; the version only rises. Owns the history;
/// used on one thread.
class Adoption {
public:
    /// nullptr while no version is in force.
    const SnapshotPointer& current() const { return m_history.current(); }
    std::uint64_t currentVersion() const { return current() ? current()->version() : 0; }
    const History& history() const { return m_history; }
    const MemberChangeLog& memberChanges() const { return m_memberChanges; }

    /// All faults that prevent `next`, which is based on version `basedOn`, from being published. If a later
    /// version than `basedOn` is in force, changes are not checked: the publication reports the conflict.
    Faults checkNext(const Document& next, std::uint64_t basedOn, Model::Time now) const;

    /// Adopts the version in `text`, the content of the store object with the hash of `row`.
    AdoptionResult offerObject(const CurrentRow& row, std::string_view text, Model::Time now);
    /// Adopts the version that a peer sent in reply to a pull.
    AdoptionResult offerDelta(const Delta& delta, Model::Time now);

    /// Records that a peer or the store announced a version.
    void noteAnnounced(std::uint64_t version, Model::Time now);
    /// Records that the store returned `row`; `requestedAt` is when the request was sent.
    void noteRow(const CurrentRow& row, Model::Time requestedAt);
    /// When a newer version than the one in force was first announced; nullopt if the version in force is the
    /// highest one announced.
    std::optional<Model::Time> outdatedSince() const { return m_outdatedSince; }
    std::uint64_t announcedVersion() const { return m_announcedVersion; }

private:
    AdoptionResult offer(Version version, std::string_view hash, Model::Time now);

    History m_history;
    MemberChangeLog m_memberChanges;
    std::uint64_t m_announcedVersion = 0;
    std::optional<Model::Time> m_outdatedSince;
};

}
