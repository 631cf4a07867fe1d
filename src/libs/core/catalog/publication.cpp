#include "core/catalog/publication.h"

#include <algorithm>

namespace Catalog {

namespace {

    using Model::ErrorCode;

    constexpr Model::Duration firstRetryDelay = Model::Duration(std::chrono::milliseconds(50));
    constexpr Model::Duration maxRetryDelay = Model::Duration(std::chrono::seconds(1));
    constexpr int maxDoublings = 5;

    std::string versionText(std::uint64_t version) { return "version " + std::to_string(version); }

}

Publication::Publication(PublicationRequest request, PublicationMode mode, Model::Time deadline)
    : m_request(std::move(request))
    , m_mode(mode)
    , m_deadline(deadline)
    , m_mayHaveRun(mode != PublicationMode::First)
    , m_step(PublicationStep {})
{
    normalize(m_request.document);
}

void Publication::noteNoAnswer(Model::Time now)
{
    if (!m_step)
        return;
    PublicationStep step = *m_step;
    // Repeating the put of the row would be harmless, but only reading the row shows the outcome.
    if (step.action == StoreAction::PutRow)
        step = { StoreAction::ReadRow, {}, {}, {}, 0 };
    step.delay = nextRetryDelay();
    proceed(std::move(step), now);
}

void Publication::noteRow(const CurrentRow& row, std::uint64_t rowVersion, Model::Time now)
{
    if (!m_step)
        return;
    m_currentVersion = row.version;
    if (row.version < m_request.expectedVersion) {
        // The version in the store never falls, so the response is outdated or the store lost its content.
        noteNoAnswer(now);
        return;
    }
    if (row.version == m_request.expectedVersion)
        return putVersionAfter(row, rowVersion, now);
    if (!m_mayHaveRun)
        return fail(ErrorCode::VersionConflict,
            versionText(row.version) + " is current, but the publication is based on version "
                + std::to_string(m_request.expectedVersion),
            row.version);
    compareLink({ row.version, row.hash, row.previousHash }, now);
}

void Publication::compareLink(const Link& link, Model::Time now)
{
    if (link.version > ownVersion())
        return proceed({ StoreAction::ReadObject, {}, link.previousHash, {}, 0 }, now);
    // Comparing the nonce is not enough: it may have been reused for another document by mistake.
    if (versionHash(versionAfter(link.previousHash)) == link.hash)
        return finish(link.version);
    fail(ErrorCode::VersionConflict, versionText(link.version) + " was published first", link.version);
}

void Publication::noteObject(std::string_view text, Model::Time now)
{
    if (!m_step)
        return;
    if (textHash(text) != m_step->hash)
        return noteNoAnswer(now);
    const Checked<Version> version = parseVersion(text);
    // The version must fall with each link, so that following the chain ends.
    if (!version || version->number < ownVersion() || version->number >= m_currentVersion)
        return noteNoAnswer(now);
    compareLink({ version->number, m_step->hash, version->previousHash }, now);
}

Version Publication::versionAfter(const std::string& previousHash) const
{
    return { ownVersion(), previousHash, m_request.nonce, m_request.document };
}

void Publication::putVersionAfter(const CurrentRow& row, std::uint64_t rowVersion, Model::Time now)
{
    if (m_mode == PublicationMode::ResolveOnly) {
        // A put of an earlier attempt may still arrive as long as the row has the expected version.
        return noteNoAnswer(now);
    }
    m_rowVersion = rowVersion;
    const std::string text = canonicalText(versionAfter(row.hash));
    m_ownRow = { ownVersion(), textHash(text), m_request.nonce, row.hash };
    proceed({ StoreAction::PutObject, {}, m_ownRow.hash, text, 0 }, now);
}

void Publication::noteObjectStored(Model::Time now)
{
    if (!m_step)
        return;
    proceed({ StoreAction::PutRow, {}, {}, rowText(m_ownRow), m_rowVersion }, now);
    if (m_step)
        m_mayHaveRun = true;
}

void Publication::noteRowStored(Model::Time)
{
    if (m_step)
        finish(ownVersion());
}

void Publication::noteRowConflict(Model::Time now)
{
    // Either another version was published, or an earlier put of this one whose response was lost.
    if (m_step)
        proceed({ StoreAction::ReadRow, nextRetryDelay(), {}, {}, 0 }, now);
}

Model::Duration Publication::nextRetryDelay()
{
    const int doublings = std::min(m_retries++, maxDoublings);
    return std::min(maxRetryDelay, firstRetryDelay * (1 << doublings));
}

void Publication::proceed(PublicationStep step, Model::Time now)
{
    if (now + step.delay >= m_deadline)
        return failUnanswered();
    m_step = std::move(step);
}

void Publication::failUnanswered()
{
    if (m_mayHaveRun)
        return fail(ErrorCode::PublishUnknown,
            "the store did not respond before the deadline; repeat the publication with the same nonce to "
            "learn its outcome");
    fail(ErrorCode::StoreUnavailable, {});
}

void Publication::finish(std::uint64_t version)
{
    m_result = PublicationResult { std::nullopt, version };
    m_step.reset();
}

void Publication::fail(ErrorCode code, std::string message, std::uint64_t conflictingVersion)
{
    m_result = PublicationResult { Model::makeError(code, std::move(message)).value(), conflictingVersion };
    m_step.reset();
}

}
