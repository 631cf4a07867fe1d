#include "daemon/taskscope.h"

namespace Daemon {

TaskScope::TaskScope(WorkerPool& workers)
    : m_workers(workers)
{
}

TaskScope::~TaskScope() { close(); }

bool TaskScope::post(std::function<void()> task)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_isClosed)
            return false;
        ++m_outstanding;
    }
    const auto finish = [this] {
        const std::lock_guard lock(m_mutex);
        --m_outstanding;
        m_done.notify_all();
    };
    const bool isPosted = m_workers.post([finish, run = std::move(task)] {
        run();
        finish();
    });
    if (!isPosted)
        finish();
    return isPosted;
}

void TaskScope::close()
{
    std::unique_lock lock(m_mutex);
    m_isClosed = true;
    m_done.wait(lock, [this] { return m_outstanding == 0; });
}

}
