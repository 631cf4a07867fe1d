#include "daemon/catalogholder.h"

namespace Daemon {

CatalogHolder::CatalogHolder(const std::string& fleetSecret)
    : m_fleetSecret(fleetSecret)
    , m_keyHasher(fleetSecret)
{
}

CatalogInForcePointer CatalogHolder::current() const
{
    const std::lock_guard lock(m_mutex);
    return m_current;
}

bool CatalogHolder::adopt(Catalog::SnapshotPointer snapshot)
{
    auto next = std::make_shared<CatalogInForce>();
    next->tokenKeys = Session::deriveTokenKeys(m_fleetSecret, snapshot->limits().tokenKeyIds);
    next->snapshot = std::move(snapshot);
    const std::lock_guard lock(m_mutex);
    if (m_current && m_current->snapshot->version() >= next->snapshot->version())
        return false;
    m_current = std::move(next);
    return true;
}

std::uint64_t CatalogHolder::version() const
{
    const CatalogInForcePointer inForce = current();
    return inForce ? inForce->snapshot->version() : 0;
}

}
