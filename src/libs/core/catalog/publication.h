#pragma once

#include "core/catalog/version.h"
#include "core/model/result.h"
#include "core/model/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Catalog {

/// A document that an operator asks to publish.
struct PublicationRequest {
    /// Must have passed the checks against the version `expectedVersion`.
    Document document;
    /// The version on which the operator based the document; 0 if no version has been published yet.
    std::uint64_t expectedVersion = 0;
    /// Unique for each publication; a repeated request has the same nonce.
    std::string nonce;
};

enum class PublicationMode : std::uint8_t {
    /// The first attempt with this nonce.
    First,
    /// An earlier attempt with the same nonce may have sent the row, which may still take effect.
    Repeat,
    /// As `Repeat`, but only the outcome of the earlier attempt is determined. Nothing is put into the store,
    /// because the document no longer passes the checks.
    ResolveOnly,
};

enum class StoreAction : std::uint8_t { ReadRow, ReadObject, PutObject, PutRow };

/// The next store request that the I/O layer has to perform.
struct PublicationStep {
    StoreAction action = StoreAction::ReadRow;
    /// Time to wait before the request.
    Model::Duration delay {};
    /// Hash of the object to read or put.
    std::string hash;
    /// Content of the object to put, or value of the row to put.
    std::string text;
    /// Row version that a put of the row expects and replaces.
    std::uint64_t rowVersion = 0;
};

/// The outcome of a publication.
struct PublicationResult {
    /// nullopt if the publication took effect.
    std::optional<Model::Error> error;
    /// The version that was published or, after a conflict, the conflicting version; 0 if unknown.
    std::uint64_t version = 0;
};

/// State machine of one publication. The I/O layer performs `step()` and reports the response with one of the
/// `note` functions; only the response to the latest step may be reported. Used on one thread.
///
/// The order of the requests is: read the row, put the object, put the row. If a put of the row gets no
/// response, only the row and the chain of previous hashes show whether it took effect. As long as the row
/// has the expected version, the put may still arrive, so the outcome is never reported as "not run" until a
/// later version is current.
class Publication {
public:
    Publication(PublicationRequest request, PublicationMode mode, Model::Time deadline);

    /// nullopt once the publication has ended.
    const std::optional<PublicationStep>& step() const { return m_step; }
    /// nullopt until the publication has ended.
    const std::optional<PublicationResult>& result() const { return m_result; }

    /// The store did not respond to the step, or its response could not be parsed.
    void noteNoAnswer(Model::Time now);
    /// Response to `ReadRow`. If the row does not exist, `row` is empty and `rowVersion` is 0.
    void noteRow(const CurrentRow& row, std::uint64_t rowVersion, Model::Time now);
    /// Response to `ReadObject`.
    void noteObject(std::string_view text, Model::Time now);
    void noteObjectStored(Model::Time now);
    void noteRowStored(Model::Time now);
    /// Response to `PutRow`: the store holds another row version than the expected one.
    void noteRowConflict(Model::Time now);

private:
    /// A version in the chain of previous hashes that is compared with this publication.
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
    /// This or an earlier attempt may have sent a put of the row.
    bool m_mayHaveRun;
    int m_retries = 0;
    std::uint64_t m_rowVersion = 0;
    CurrentRow m_ownRow;
    std::uint64_t m_currentVersion = 0;
    std::optional<PublicationStep> m_step;
    std::optional<PublicationResult> m_result;
};

}
