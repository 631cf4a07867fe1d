#include "core/directory/view.h"

#include <algorithm>

namespace Directory {

namespace {

    /// Longer than an upstream that runs is usually cut off from the store.
    constexpr Model::Duration formerUpstreamLifetime = std::chrono::minutes(10);

}

bool View::adopt(std::shared_ptr<const Configuration> configuration)
{
    if (m_configuration && configuration->version <= m_configuration->version)
        return false;
    m_configuration = std::move(configuration);
    return true;
}

void View::setUpstream(Upstream upstream)
{
    if (upstream.role == Role::Primary)
        upstream.primarySince = knownPrimarySince(upstream).value_or(upstream.revision);
    const std::string id = upstream.id;
    std::erase_if(m_formerUpstreams, [&](const auto& former) {
        return former.first == id || former.second.upstream.address == upstream.address;
    });
    m_upstreams.insert_or_assign(id, std::move(upstream));
}

/// The revision with which this incarnation of the upstream became the primary, if that is known.
std::optional<std::uint64_t> View::knownPrimarySince(const Upstream& upstream) const
{
    const auto known = m_upstreams.find(upstream.id);
    if (known != m_upstreams.end()) {
        const bool wasPrimary
            = known->second.role == Role::Primary && known->second.startedAt == upstream.startedAt;
        return wasPrimary ? std::optional(known->second.primarySince) : std::nullopt;
    }
    const auto removed = m_removedPrimaries.find(upstream.id);
    if (removed != m_removedPrimaries.end() && removed->second.startedAt == upstream.startedAt)
        return removed->second.primarySince;
    return std::nullopt;
}

void View::removeUpstream(const std::string& id, Model::Time now)
{
    const Upstream* known = findUpstream(id);
    if (!known)
        return;
    if (known->role == Role::Primary)
        m_removedPrimaries.insert_or_assign(id, RemovedPrimary { known->startedAt, known->primarySince });
    std::erase_if(m_formerUpstreams,
        [&](const auto& former) { return now - former.second.removedAt > formerUpstreamLifetime; });
    const FormerUpstream former { *known, now };
    m_upstreams.erase(id);
    const bool isReplaced = std::ranges::any_of(
        m_upstreams, [&](const auto& other) { return other.second.address == former.upstream.address; });
    if (!isReplaced)
        m_formerUpstreams.insert_or_assign(id, former);
}

const Upstream* View::findUpstream(std::string_view id) const
{
    const auto found = m_upstreams.find(id);
    return found == m_upstreams.end() ? nullptr : &found->second;
}

const FormerUpstream* View::findFormerUpstream(std::string_view id) const
{
    const auto found = m_formerUpstreams.find(id);
    return found == m_formerUpstreams.end() ? nullptr : &found->second;
}

std::vector<const FormerUpstream*> View::formerUpstreamsOf(std::string_view service) const
{
    std::vector<const FormerUpstream*> result;
    for (const auto& [id, former] : m_formerUpstreams) {
        if (former.upstream.service == service)
            result.push_back(&former);
    }
    return result;
}

std::vector<const Upstream*> View::upstreamsOf(std::string_view service) const
{
    std::vector<const Upstream*> result;
    for (const auto& [id, upstream] : m_upstreams) {
        if (upstream.service == service)
            result.push_back(&upstream);
    }
    return result;
}

const Upstream* View::primaryOf(std::string_view service) const
{
    const Upstream* result = nullptr;
    for (const Upstream* upstream : upstreamsOf(service)) {
        if (!isPrimaryAllowed(service, upstream->id))
            continue;
        if (upstream->role == Role::Primary && (!result || upstream->primarySince > result->primarySince))
            result = upstream;
    }
    return result;
}

void View::restrictPrimary(const std::string& service, const std::string& upstream)
{
    m_allowedPrimaries[service] = upstream;
}

bool View::isPrimaryAllowed(std::string_view service, std::string_view upstream) const
{
    const auto allowed = m_allowedPrimaries.find(service);
    return allowed == m_allowedPrimaries.end() || allowed->second == upstream;
}

bool View::acceptsWork(const Upstream& upstream) const
{
    return upstream.availability == Availability::Ready && !isZoneOut(upstream.zone);
}

}
