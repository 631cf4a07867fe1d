#pragma once

#include "daemon/workerpool.h"

#include <condition_variable>
#include <functional>
#include <mutex>

namespace Daemon {

/// Posts tasks that use an object to a worker pool, and lets the object wait for them before it goes away.
class TaskScope {
public:
    explicit TaskScope(WorkerPool& workers);
    ~TaskScope();
    TaskScope(const TaskScope&) = delete;
    TaskScope& operator=(const TaskScope&) = delete;

    /// Returns false if the task will not run.
    [[nodiscard]] bool post(std::function<void()> task);
    /// Refuses further tasks and waits for those that were accepted.
    void close();

private:
    WorkerPool& m_workers;
    std::mutex m_mutex;
    std::condition_variable m_done;
    std::size_t m_outstanding = 0;
    bool m_isClosed = false;
};

}
