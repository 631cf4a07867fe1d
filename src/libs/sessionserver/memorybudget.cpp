#include "sessionserver/memorybudget.h"

#include <utility>

namespace SessionServer {

MemoryCharge::~MemoryCharge() { set(0); }

MemoryCharge::MemoryCharge(MemoryCharge&& other) noexcept
    : m_budget(other.m_budget)
    , m_bytes(std::exchange(other.m_bytes, 0))
{
}

void MemoryCharge::set(std::size_t bytes)
{
    m_budget->m_used = m_budget->m_used - m_bytes + bytes;
    m_bytes = bytes;
}

}
