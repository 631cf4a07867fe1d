#include "core/catalog/memberchangelog.h"

#include "core/catalog/documentindex.h"

#include <algorithm>

namespace Catalog {

namespace {

    using Internal::findByName;

    void eraseExpired(std::unordered_map<std::string, Model::Time>& times, Model::Time now)
    {
        std::erase_if(
            times, [now](const auto& entry) { return now - entry.second >= MemberChangeLog::minInterval; });
    }

}

void MemberChangeLog::adopt(const Document* previous, const Document& next, Model::Time now)
{
    // Two changes that undo each other are at least one interval apart. A host that was not confirmed for
    // longer may have missed both, and comparing the documents then does not show when the last change was
    // made.
    const bool isConfirmed = previous && m_lastConfirmed && now - *m_lastConfirmed < minInterval;
    if (isConfirmed)
        recordChanges(*previous, next, now);
    else
        m_knownSince = now;
}

void MemberChangeLog::confirm(Model::Time now)
{
    m_lastConfirmed = m_lastConfirmed ? std::max(*m_lastConfirmed, now) : now;
    eraseExpired(m_services, now);
    eraseExpired(m_addresses, now);
}

void MemberChangeLog::recordChanges(const Document& previous, const Document& next, Model::Time now)
{
    for (const Service& service : next.services) {
        const Service* before = findByName(previous.services, service.name);
        if (!before || before->upstreams != service.upstreams)
            m_services[service.name] = now;
    }
    for (const Service& service : previous.services) {
        const Service* after = findByName(next.services, service.name);
        if (!after)
            m_services[service.name] = now;
        for (const std::string& name : service.upstreams) {
            const bool isMember = after && std::ranges::binary_search(after->upstreams, name);
            const Upstream* upstream = findByName(previous.upstreams, name);
            if (!isMember && upstream)
                m_addresses[upstream->address] = now;
        }
    }
}

Model::Duration MemberChangeLog::serviceWait(std::string_view service, Model::Time now) const
{
    return wait(m_services, service, now);
}

Model::Duration MemberChangeLog::addressWait(std::string_view address, Model::Time now) const
{
    return wait(m_addresses, address, now);
}

Model::Duration MemberChangeLog::wait(const Times& times, std::string_view name, Model::Time now) const
{
    if (!m_knownSince)
        return minInterval;
    Model::Time last = *m_knownSince;
    const auto found = times.find(std::string(name));
    if (found != times.end())
        last = std::max(last, found->second);
    return std::max(Model::Duration::zero(), minInterval - (now - last));
}

}
