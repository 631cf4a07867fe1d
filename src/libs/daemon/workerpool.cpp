#include "daemon/workerpool.h"

namespace Daemon {

WorkerPool::WorkerPool(std::size_t maxThreads, std::size_t maxQueuedTasks)
    : m_maxThreads(maxThreads)
    , m_maxQueuedTasks(maxQueuedTasks)
{
}

WorkerPool::~WorkerPool() { stop(); }

bool WorkerPool::post(std::function<void()> task)
{
    const std::lock_guard lock(m_mutex);
    if (m_isStopping || m_tasks.size() >= m_maxQueuedTasks)
        return false;
    m_tasks.push_back(std::move(task));
    if (m_tasks.size() > m_idleThreads && m_threads.size() < m_maxThreads)
        m_threads.emplace_back([this] { run(); });
    m_wake.notify_one();
    return true;
}

void WorkerPool::stop()
{
    std::vector<std::thread> threads;
    {
        const std::lock_guard lock(m_mutex);
        m_isStopping = true;
        threads.swap(m_threads);
    }
    m_wake.notify_all();
    for (std::thread& thread : threads)
        thread.join();
}

void WorkerPool::run()
{
    std::unique_lock lock(m_mutex);
    while (true) {
        ++m_idleThreads;
        m_wake.wait(lock, [this] { return m_isStopping || !m_tasks.empty(); });
        --m_idleThreads;
        if (m_tasks.empty())
            return;
        const std::function<void()> task = std::move(m_tasks.front());
        m_tasks.pop_front();
        lock.unlock();
        task();
        lock.lock();
    }
}

}
