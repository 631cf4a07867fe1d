#pragma once

#include <cstddef>

namespace SessionServer {

/// Memory that all clients of a process may occupy together. Used on one thread.
class MemoryBudget {
public:
    explicit MemoryBudget(std::size_t limit)
        : m_limit(limit)
    {
    }

    std::size_t used() const { return m_used; }
    std::size_t limit() const { return m_limit; }
    bool isExceeded() const { return m_used > m_limit; }
    /// Whether more than half of the budget is used, so that clients may pipeline fewer statements.
    bool isScarce() const { return m_used > m_limit / 2; }
    /// Maximum memory of one client, in bytes. Encoding an answer copies it, so the process may briefly
    /// exceed its budget by this amount.
    std::size_t limitOfClient() const { return m_limit / 4; }

private:
    friend class MemoryCharge;

    std::size_t m_limit;
    std::size_t m_used = 0;
};

/// The part of a budget that one holder occupies. The destructor returns it.
class MemoryCharge {
public:
    explicit MemoryCharge(MemoryBudget& budget)
        : m_budget(&budget)
    {
    }
    ~MemoryCharge();
    MemoryCharge(MemoryCharge&& other) noexcept;
    MemoryCharge(const MemoryCharge&) = delete;
    MemoryCharge& operator=(const MemoryCharge&) = delete;
    MemoryCharge& operator=(MemoryCharge&&) = delete;

    void set(std::size_t bytes);
    std::size_t bytes() const { return m_bytes; }

private:
    MemoryBudget* m_budget;
    std::size_t m_bytes = 0;
};

}
