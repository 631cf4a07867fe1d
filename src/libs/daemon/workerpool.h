#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace Daemon {

/// Runs blocking tasks. Owns its threads, which are started on demand up to a limit and are kept until
/// `stop`.
class WorkerPool {
public:
    WorkerPool(std::size_t maxThreads, std::size_t maxQueuedTasks);
    ~WorkerPool();
    WorkerPool(const WorkerPool&) = delete;
    WorkerPool& operator=(const WorkerPool&) = delete;

    /// Returns false if the queue is full or the pool is stopping; the task is then not run.
    [[nodiscard]] bool post(std::function<void()> task);
    /// Refuses further tasks, runs the queued ones and joins the threads.
    void stop();

private:
    void run();

    std::size_t m_maxThreads;
    std::size_t m_maxQueuedTasks;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::deque<std::function<void()>> m_tasks;
    std::vector<std::thread> m_threads;
    std::size_t m_idleThreads = 0;
    bool m_isStopping = false;
};

}
