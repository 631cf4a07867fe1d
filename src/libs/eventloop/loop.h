#pragma once

#include "core/model/time.h"

#include <csignal>
#include <functional>
#include <memory>
#include <mutex>
#include <vector>

struct uv_loop_s;

namespace EventLoop {

/// Monotonic time that goes on while the machine is suspended, so that what was learned before counts as
/// old afterwards.
Model::Time now();

/// One thread's event loop. All members but `post` are called on that thread.
class Loop {
public:
    Loop();
    ~Loop();
    Loop(const Loop&) = delete;
    Loop& operator=(const Loop&) = delete;

    /// Handles events until `stop`.
    void run();
    void stop();
    /// Runs `task` on the loop's thread soon. Any thread may call it.
    void post(std::function<void()> task);
    /// Calls `handler` on the loop's thread for each signal of this number.
    void onSignal(int number, std::function<void()> handler);

    /// The library's loop, for the other classes of this folder.
    uv_loop_s* handle() const;

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

}
