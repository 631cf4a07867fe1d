#pragma once

#include "admin/adminhooks.h"
#include "daemon/catalogholder.h"
#include "daemon/catalogservice.h"

#include <functional>
#include <optional>
#include <string>

namespace Daemon {

/// Serves the operators' requests: checks and publishes documents, and changes single objects by publishing a
/// changed copy of the document in force. Thread-safe; calls may block on the store.
class OperatorService {
public:
    OperatorService(const CatalogHolder& holder, CatalogService& catalog);

    Admin::AdminResult<Admin::PublishedVersion> publish(const Admin::PublishRequest& request);
    Admin::AdminResult<std::uint64_t> check(const std::string& text);
    Admin::AdminResult<Admin::CurrentDocument> currentDocument() const;
    Admin::AdminResult<std::vector<Admin::HistoryEntry>> history() const;
    Admin::AdminResult<Admin::PublishedVersion> setZoneState(
        const std::string& zone, Catalog::ZoneState state);
    Admin::AdminResult<Admin::GrantedKey> grantKey(const std::string& customer, const std::string& name);
    Admin::AdminResult<Admin::PublishedVersion> withdrawKey(const std::string& name);

private:
    /// Changes a copy of the document in force. Returns a fault if the change is not possible.
    using Edit = std::function<std::optional<Catalog::Fault>(Catalog::Document&)>;

    /// Publishes a change of the document in force. Applies the change again if another version was published
    /// first. Errors: `not_ready`, `check_failed`, and those of a publication.
    Admin::AdminResult<Admin::PublishedVersion> publishEdit(const Edit& edit);
    Admin::AdminResult<Admin::PublishedVersion> publishDocument(const Catalog::Document& document,
        std::uint64_t expectedVersion, const std::string& nonce, Catalog::PublicationMode mode);
    /// The reasons for which the document cannot be published on top of `expectedVersion`.
    Catalog::Faults faultsOf(const Catalog::Document& document, std::uint64_t expectedVersion) const;

    const CatalogHolder& m_holder;
    CatalogService& m_catalog;
};

}
