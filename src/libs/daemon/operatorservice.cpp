#include "daemon/operatorservice.h"

#include "core/catalog/parsedocument.h"
#include "crypto/base64url.h"
#include "crypto/randombytes.h"
#include "daemon/clock.h"
#include "logging/log.h"

#include <algorithm>

namespace Daemon {

using Admin::AdminError;
using Admin::AdminResult;
using Admin::PublishedVersion;
using Catalog::ObjectType;
using Catalog::PublicationMode;
using Model::ErrorCode;
using Model::makeError;

namespace {

    /// An operator waits at most this long for the outcome of a publication.
    constexpr std::chrono::milliseconds publishTimeout(10000);
    /// The number of attempts to change one object. An attempt fails if another version is published first.
    constexpr int maxEditAttempts = 5;
    constexpr std::size_t keyBytes = 32;
    constexpr std::size_t nonceBytes = 12;

    tl::unexpected<AdminError> refuse(ErrorCode code, std::string message = {}, std::uint64_t version = 0)
    {
        return tl::unexpected(AdminError { makeError(code, std::move(message)).value(), {}, version });
    }

    tl::unexpected<AdminError> refuse(const Catalog::Faults& faults)
    {
        return tl::unexpected(AdminError { Catalog::checkFailed(faults), faults, 0 });
    }

    Catalog::Fault unknownObject(ObjectType type, const std::string& name)
    {
        return { type, name, {}, "no such " + std::string(Catalog::objectTypeName(type)) };
    }

    std::string newNonce() { return Crypto::toBase64Url(Crypto::randomBytes(nonceBytes)); }

}

OperatorService::OperatorService(const CatalogHolder& holder, CatalogService& catalog)
    : m_holder(holder)
    , m_catalog(catalog)
{
}

Catalog::Faults OperatorService::faultsOf(
    const Catalog::Document& document, std::uint64_t expectedVersion) const
{
    Catalog::Faults faults;
    m_catalog.withAdoption([&](const Catalog::Adoption& adoption) {
        faults = adoption.checkNext(document, expectedVersion, steadyNow());
    });
    return faults;
}

AdminResult<PublishedVersion> OperatorService::publish(const Admin::PublishRequest& request)
{
    const auto document = Catalog::parseDocument(request.document);
    if (!document)
        return refuse(document.error());
    if (m_holder.version() < request.expectedVersion)
        m_catalog.refresh();
    const Catalog::Faults faults = faultsOf(*document, request.expectedVersion);
    if (!faults.empty() && !request.isRepeat)
        return refuse(faults);
    const PublicationMode repeatMode
        = faults.empty() ? PublicationMode::Repeat : PublicationMode::ResolveOnly;
    return publishDocument(*document, request.expectedVersion, request.nonce,
        request.isRepeat ? repeatMode : PublicationMode::First);
}

AdminResult<PublishedVersion> OperatorService::publishDocument(const Catalog::Document& document,
    std::uint64_t expectedVersion, const std::string& nonce, PublicationMode mode)
{
    const PublishOutcome outcome
        = m_catalog.publish({ document, expectedVersion, nonce }, mode, steadyNow() + publishTimeout);
    if (outcome.error)
        return tl::unexpected(AdminError { *outcome.error, {}, outcome.version });
    PublishedVersion published { outcome.version, {} };
    if (const CatalogInForcePointer inForce = m_holder.current();
        inForce && inForce->snapshot->version() == outcome.version)
        published.hash = inForce->snapshot->hash();
    return published;
}

AdminResult<std::uint64_t> OperatorService::check(const std::string& text)
{
    const auto document = Catalog::parseDocument(text);
    if (!document)
        return refuse(document.error());
    const std::uint64_t version = m_holder.version();
    const Catalog::Faults faults = faultsOf(*document, version);
    if (!faults.empty())
        return refuse(faults);
    return version;
}

AdminResult<Admin::CurrentDocument> OperatorService::currentDocument() const
{
    const CatalogInForcePointer inForce = m_holder.current();
    if (!inForce)
        return refuse(ErrorCode::NotReady);
    const Catalog::Snapshot& snapshot = *inForce->snapshot;
    return Admin::CurrentDocument { snapshot.version(), snapshot.hash(),
        Catalog::canonicalText(snapshot.document()) };
}

AdminResult<std::vector<Admin::HistoryEntry>> OperatorService::history() const
{
    std::vector<Admin::HistoryEntry> entries;
    m_catalog.withAdoption([&entries](const Catalog::Adoption& adoption) {
        for (const Catalog::VersionChange& step : adoption.history().entries())
            entries.push_back({ step.version, step.hash, step.nonce, step.objectIds, step.fromVersion });
    });
    std::ranges::reverse(entries);
    return entries;
}

AdminResult<PublishedVersion> OperatorService::publishEdit(const Edit& edit)
{
    for (int attempt = 0; attempt < maxEditAttempts; ++attempt) {
        const CatalogInForcePointer inForce = m_holder.current();
        if (!inForce)
            return refuse(ErrorCode::NotReady);
        Catalog::Document document = inForce->snapshot->document();
        if (const auto fault = edit(document))
            return refuse(Catalog::Faults { *fault });
        Catalog::normalize(document);
        const std::uint64_t version = inForce->snapshot->version();
        if (document == inForce->snapshot->document())
            return PublishedVersion { version, inForce->snapshot->hash() };
        const Catalog::Faults faults = faultsOf(document, version);
        if (!faults.empty())
            return refuse(faults);
        auto published = publishDocument(document, version, newNonce(), PublicationMode::First);
        if (published || published.error().error.code != ErrorCode::VersionConflict)
            return published;
        m_catalog.refresh();
    }
    return refuse(ErrorCode::VersionConflict, "another version was published first in every attempt",
        m_holder.version());
}

AdminResult<PublishedVersion> OperatorService::setZoneState(const std::string& zone, Catalog::ZoneState state)
{
    return publishEdit([&](Catalog::Document& document) -> std::optional<Catalog::Fault> {
        const auto found = std::ranges::find(document.zones, zone, &Catalog::Zone::name);
        if (found == document.zones.end())
            return unknownObject(ObjectType::Zone, zone);
        found->state = state;
        return std::nullopt;
    });
}

AdminResult<Admin::GrantedKey> OperatorService::grantKey(const std::string& customer, const std::string& name)
{
    const std::string key = Crypto::toBase64Url(Crypto::randomBytes(keyBytes));
    const std::string hash = m_holder.keyHasher().hash(key);
    const auto published = publishEdit([&](Catalog::Document& document) -> std::optional<Catalog::Fault> {
        if (std::ranges::find(document.customers, customer, &Catalog::Customer::name)
            == document.customers.end())
            return unknownObject(ObjectType::Customer, customer);
        if (std::ranges::find(document.keys, name, &Catalog::Key::name) != document.keys.end())
            return Catalog::Fault { ObjectType::Key, name, "name", "a key with this name already exists" };
        document.keys.push_back({ name, customer, hash, Catalog::KeyState::Active });
        return std::nullopt;
    });
    if (!published)
        return tl::unexpected(published.error());
    Logging::write(Logging::EventId::KeyGranted, { { "key", name }, { "customer", customer } });
    return Admin::GrantedKey { key, published->version };
}

AdminResult<PublishedVersion> OperatorService::withdrawKey(const std::string& name)
{
    auto published = publishEdit([&](Catalog::Document& document) -> std::optional<Catalog::Fault> {
        const auto found = std::ranges::find(document.keys, name, &Catalog::Key::name);
        if (found == document.keys.end())
            return unknownObject(ObjectType::Key, name);
        found->state = Catalog::KeyState::Withdrawn;
        return std::nullopt;
    });
    if (published)
        Logging::write(Logging::EventId::KeyWithdrawn, { { "key", name } });
    return published;
}

}
