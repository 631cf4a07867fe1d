#pragma once

#include "core/model/time.h"

#include <functional>
#include <memory>

namespace EventLoop {

class Loop;

/// Single-shot timer that can be started again. Used on the loop's thread.
class Timer {
public:
    Timer(Loop& loop, std::function<void()> handler);
    ~Timer();
    Timer(const Timer&) = delete;
    Timer& operator=(const Timer&) = delete;

    /// Calls the handler after `delay`, rounded up to whole milliseconds; a negative delay counts as 0.
    /// Restarts the timer if it is running.
    void start(Model::Duration delay);
    void stop();

private:
    struct Private;
    Private* m_d;
};

}
