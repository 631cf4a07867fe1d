#pragma once

#include "core/catalog/version.h"
#include "core/model/result.h"
#include "core/model/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Catalog {

/// What an operator wants to publish.
struct PublicationRequest {
    /// Checked against the version `expectedVersion`.
    Document document;
    /// The version on which the operator based the document; 0 if there is none yet.
    std::uint64_t expectedVersion = 0;
    /// Unique for each publication; a repeated request has the same one.
    std::string nonce;
};

enum class PublicationMode : std::uint8_t {
    First,
    /// An earlier attempt with the same nonce may have been sent, and may still take effect.
    Repeat,
    /// As `Repeat`, and nothing may be sent any more because the document no longer passes the checks.
    ResolveOnly,
};

enum class StoreAction : std::uint8_t { ReadRow, ReadObject, PutObject, PutRow };

/// What the I/O layer has to do next.
struct PublicationStep {
    StoreAction action = StoreAction::ReadRow;
    /// How long to wait before.
    Model::Duration delay {};
    /// Of the object to read or put.
    std::string hash;
    /// Content of the object to put, or value of the row to put.
    std::string text;
    /// Row version that a put of the row replaces.
    std::uint64_t rowVersion = 0;
};

/// The end of a publication.
struct PublicationResult {
    /// Nothing if the publication took effect.
    std::optional<Model::Error> error;
    /// The version that was published, or the one that won; 0 if unknown.
    std::uint64_t version = 0;
};

/// One publication against the store. It decides, the I/O layer performs `step()` and reports the result;
/// what is reported has to be the result of the latest step. Used on one thread.
///
/// The order is: read the row, put the object, put the row. After a put of the row without an answer only
/// the row and the chain of previous hashes tell whether it took effect. Until the row has moved on, the
/// put may still arrive late, so "not run" is never reported then.
class Publication {
public:
    Publication(PublicationRequest request, PublicationMode mode, Model::Time deadline);

    /// Nothing once the publication has ended.
    const std::optional<PublicationStep>& step() const { return m_step; }
    const std::optional<PublicationResult>& result() const { return m_result; }

    /// The store did not answer the step, or not in an intelligible way.
    void noteNoAnswer(Model::Time now);
    /// `row` is empty, with row version 0, if the row does not exist.
    void noteRow(const CurrentRow& row, std::uint64_t rowVersion, Model::Time now);
    void noteObject(std::string_view text, Model::Time now);
    void noteObjectStored(Model::Time now);
    void noteRowStored(Model::Time now);
    /// The store holds another row version than the expected one.
    void noteRowConflict(Model::Time now);

private:
    /// The place in the chain of versions that is being compared.
    struct Link {
        std::uint64_t version = 0;
        std::string hash;
        std::string previousHash;
    };

    std::uint64_t ownVersion() const { return m_request.expectedVersion + 1; }
    Version versionAfter(const std::string& previousHash) const;
    void compareLink(const Link& link, Model::Time now);
    void putVersionAfter(const CurrentRow& row, std::uint64_t rowVersion, Model::Time now);
    void proceed(PublicationStep step, Model::Time now);
    void finish(std::uint64_t version);
    void fail(Model::ErrorCode code, std::string message, std::uint64_t conflictingVersion = 0);
    void failUnanswered();
    Model::Duration nextRetryDelay();

    PublicationRequest m_request;
    PublicationMode m_mode;
    Model::Time m_deadline;
    /// A put of the row was sent by this or an earlier attempt.
    bool m_mayHaveRun;
    int m_retries = 0;
    std::uint64_t m_rowVersion = 0;
    CurrentRow m_ownRow;
    std::uint64_t m_currentVersion = 0;
    std::optional<PublicationStep> m_step;
    std::optional<PublicationResult> m_result;
};

}
