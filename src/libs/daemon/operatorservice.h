#pragma once

#include "admin/adminhooks.h"
#include "daemon/catalogholder.h"
#include "daemon/catalogservice.h"

#include <functional>
#include <optional>
#include <string>

namespace Daemon {

/// Carries out what operators ask for: checks, publications and the changes of single objects, each of which
/// publishes a whole document. Any thread may use it; calls block on the store.
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
    /// Changes a copy of the document in force; returns what is wrong, if anything.
    using Edit = std::function<std::optional<Catalog::Fault>(Catalog::Document&)>;

    Admin::AdminResult<Admin::PublishedVersion> publishEdit(const Edit& edit);
    Admin::AdminResult<Admin::PublishedVersion> publishDocument(const Catalog::Document& document,
        std::uint64_t expectedVersion, const std::string& nonce, Catalog::PublicationMode mode);
    Catalog::Faults faultsOf(const Catalog::Document& document, std::uint64_t expectedVersion) const;

    const CatalogHolder& m_holder;
    CatalogService& m_catalog;
};

}
