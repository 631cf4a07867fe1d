#include "core/directory/view.h"

namespace Directory {

bool View::adopt(std::shared_ptr<const Configuration> configuration)
{
    if (m_configuration && configuration->version <= m_configuration->version)
        return false;
    m_configuration = std::move(configuration);
    return true;
}

void View::setUpstream(Upstream upstream)
{
    const auto known = m_upstreams.find(upstream.id);
    const bool wasPrimary = known != m_upstreams.end() && known->second.role == Role::Primary
        && known->second.startedAt == upstream.startedAt;
    if (upstream.role == Role::Primary)
        upstream.primarySince = wasPrimary ? known->second.primarySince : upstream.revision;
    const std::string id = upstream.id;
    m_upstreams.insert_or_assign(id, std::move(upstream));
}

void View::removeUpstream(const std::string& id) { m_upstreams.erase(id); }

const Upstream* View::findUpstream(std::string_view id) const
{
    const auto found = m_upstreams.find(id);
    return found == m_upstreams.end() ? nullptr : &found->second;
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
