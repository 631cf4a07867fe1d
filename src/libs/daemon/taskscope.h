#pragma once

#include "daemon/workerpool.h"

#include <condition_variable>
#include <functional>
#include <mutex>

namespace Daemon {

/// Posts tasks that use an object to a worker pool. The object calls `close` before it is destroyed, to wait
/// for them.
class TaskScope {
public:
    explicit TaskScope(WorkerPool& workers);
    ~TaskScope();
    TaskScope(const TaskScope&) = delete;
    TaskScope& operator=(const TaskScope&) = delete;

    /// Returns false, and does not run the task, if the scope is closed or the pool does not accept the task.
    [[nodiscard]] bool post(std::function<void()> task);
    /// Refuses further tasks and waits until the accepted ones have ended.
    void close();

private:
    WorkerPool& m_workers;
    std::mutex m_mutex;
    std::condition_variable m_done;
    std::size_t m_outstanding = 0;
    bool m_isClosed = false;
};

}
