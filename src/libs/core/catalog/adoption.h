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
    /// The version in force is the same or a later one.
    NotNewer,
    /// The delta starts at another version than the one in force: pull the whole document.
    BaseMismatch,
    /// The content does not have the stated hash: pull the whole document, or ask another peer.
    HashMismatch,
    /// The content is malformed or has faults.
    Inconsistent,
};

/// Why an offered version was not adopted.
struct Refusal {
    RefusalReason reason;
    std::string message;
};

using AdoptionResult = tl::expected<SnapshotPointer, Refusal>;

/// Decides which versions come into force on this host. Owns the history; used on one thread.
class Adoption {
public:
    /// nullptr while no version is in force.
    const SnapshotPointer& current() const { return m_history.current(); }
    std::uint64_t currentVersion() const { return current() ? current()->version() : 0; }
    const History& history() const { return m_history; }
    const MemberChangeLog& memberChanges() const { return m_memberChanges; }

    /// Everything that forbids to publish a document that is based on a version. If that version is not the
    /// one in force, a later one is, and the publication itself reports the conflict.
    Faults checkNext(const Document& next, std::uint64_t basedOn, Model::Time now) const;

    /// Content of the store object that the row names.
    AdoptionResult offerObject(const CurrentRow& row, std::string_view text, Model::Time now);
    /// Answer of a peer to a pull.
    AdoptionResult offerDelta(const Delta& delta, Model::Time now);

    /// A peer or the store announced that a version exists.
    void noteAnnounced(std::uint64_t version, Model::Time now);
    /// The store's row was read; `requestedAt` is when the request was sent.
    void noteRow(const CurrentRow& row, Model::Time requestedAt);
    /// Since when a newer version than the one in force is known; nothing if none is.
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
