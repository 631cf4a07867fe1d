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

    Admin::Answer<Admin::PublishedVersion> publish(const Admin::PublishRequest& request);
    Admin::Answer<std::uint64_t> check(const std::string& text);
    Admin::Answer<Admin::CurrentDocument> currentDocument() const;
    Admin::Answer<std::vector<Admin::HistoryEntry>> history() const;
    Admin::Answer<Admin::PublishedVersion> setZoneState(const std::string& zone, Catalog::ZoneState state);
    Admin::Answer<Admin::GrantedKey> grantKey(const std::string& customer, const std::string& name);
    Admin::Answer<Admin::PublishedVersion> withdrawKey(const std::string& name);

private:
    /// Changes a copy of the document in force; returns what is wrong, if anything.
    using Edit = std::function<std::optional<Catalog::Fault>(Catalog::Document&)>;

    Admin::Answer<Admin::PublishedVersion> publishEdit(const Edit& edit);
    Admin::Answer<Admin::PublishedVersion> publishDocument(const Catalog::Document& document,
        std::uint64_t expectedVersion, const std::string& nonce, Catalog::PublicationMode mode);
    Catalog::Faults faultsOf(const Catalog::Document& document, std::uint64_t expectedVersion) const;

    const CatalogHolder& m_holder;
    CatalogService& m_catalog;
};

}
