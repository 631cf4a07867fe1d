#include "core/catalog/adoption.h"

#include "core/catalog/check.h"
#include "core/catalog/checkchange.h"

#include <algorithm>

namespace Catalog {

namespace {

    tl::unexpected<Refusal> refuse(RefusalReason reason, std::string message)
    {
        return tl::unexpected<Refusal>(Refusal { reason, std::move(message) });
    }

    tl::unexpected<Refusal> refuse(const Faults& faults)
    {
        return refuse(RefusalReason::Inconsistent, checkFailed(faults).message);
    }

    tl::unexpected<Refusal> refuseOld(std::uint64_t offered, std::uint64_t current)
    {
        return refuse(RefusalReason::NotNewer,
            "version " + std::to_string(offered) + " was offered, but version " + std::to_string(current)
                + " is in force");
    }

}

Faults Adoption::checkNext(const Document& next, std::uint64_t basedOn, Model::Time now) const
{
    Faults faults = check(next);
    if (!faults.empty() || basedOn < currentVersion())
        return faults;
    // Changes to the members of services can only be checked against the base version itself.
    if (basedOn > currentVersion())
        return { { ObjectType::Document, {}, {},
            "this host does not have version " + std::to_string(basedOn) + " yet; try again" } };
    if (current())
        faults = checkChange(current()->document(), next, m_memberChanges, now);
    return faults;
}

AdoptionResult Adoption::offerObject(const CurrentRow& row, std::string_view text, Model::Time now)
{
    if (row.version <= currentVersion())
        return refuseOld(row.version, currentVersion());
    if (textHash(text) != row.hash)
        return refuse(
            RefusalReason::HashMismatch, "the store object does not have the hash given in the row");
    Checked<Version> version = parseVersion(text);
    if (!version)
        return refuse(version.error());
    if (version->number != row.version)
        return refuse(RefusalReason::HashMismatch, "the store object holds another version than the row");
    return offer(std::move(*version), row.hash, now);
}

AdoptionResult Adoption::offerDelta(const Delta& delta, Model::Time now)
{
    if (delta.version <= currentVersion())
        return refuseOld(delta.version, currentVersion());
    if (delta.fromVersion != 0 && delta.fromVersion != currentVersion())
        return refuse(RefusalReason::BaseMismatch,
            "the delta is based on version " + std::to_string(delta.fromVersion) + ", but version "
                + std::to_string(currentVersion()) + " is in force");
    Checked<Version> version
        = applyDelta(delta.fromVersion == 0 ? Document {} : current()->document(), delta);
    if (!version)
        return refuse(version.error());
    return offer(std::move(*version), delta.hash, now);
}

AdoptionResult Adoption::offer(Version version, std::string_view hash, Model::Time now)
{
    // The indexes of a snapshot require a consistent document, so it is checked first.
    const Faults faults = check(version.document);
    if (!faults.empty())
        return refuse(faults);
    SnapshotPointer next = Snapshot::create(std::move(version));
    if (next->hash() != hash)
        return refuse(
            RefusalReason::HashMismatch, "the content of the version does not have the stated hash");
    m_memberChanges.adopt(current() ? &current()->document() : nullptr, next->document(), now);
    m_history.adopt(next);
    if (currentVersion() >= m_announcedVersion)
        m_outdatedSince.reset();
    return next;
}

void Adoption::noteAnnounced(std::uint64_t version, Model::Time now)
{
    m_announcedVersion = std::max(m_announcedVersion, version);
    if (m_announcedVersion > currentVersion() && !m_outdatedSince)
        m_outdatedSince = now;
}

void Adoption::noteRow(const CurrentRow& row, Model::Time requestedAt)
{
    noteAnnounced(row.version, requestedAt);
    if (current() && row.version == currentVersion())
        m_memberChanges.confirm(requestedAt);
}

}
