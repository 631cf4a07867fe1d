#pragma once

#include "core/model/time.h"

#include <csignal>
#include <functional>
#include <memory>
#include <mutex>
#include <vector>

struct uv_loop_s;

namespace EventLoop {

/// Monotonic clock (CLOCK_BOOTTIME). It advances while the machine is suspended, so that information from
/// before a suspension counts as old afterwards.
Model::Time now();

/// Event loop of one thread, based on libuv. All members except `post` are called on that thread.
class Loop {
public:
    Loop();
    ~Loop();
    Loop(const Loop&) = delete;
    Loop& operator=(const Loop&) = delete;

    /// Handles events until `stop` is called.
    void run();
    void stop();
    /// Queues `task` for the loop's thread; tasks run in the order of their calls. Any thread may call it.
    void post(std::function<void()> task);
    /// Calls `handler` on the loop's thread whenever the process receives the signal `number`, such as
    /// SIGTERM.
    void onSignal(int number, std::function<void()> handler);

    /// The libuv loop, for classes that register handles of their own.
    uv_loop_s* handle() const;

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

}
