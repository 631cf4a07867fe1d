#pragma once

#include "core/model/time.h"

#include <functional>
#include <memory>

namespace EventLoop {

class Loop;

/// Calls a function once after a while; it can be started again. Used on the loop's thread.
class Timer {
public:
    Timer(Loop& loop, std::function<void()> handler);
    ~Timer();
    Timer(const Timer&) = delete;
    Timer& operator=(const Timer&) = delete;

    /// Rounds up to whole milliseconds. Replaces the time of a running timer.
    void start(Model::Duration delay);
    void stop();

private:
    struct Private;
    Private* m_d;
};

}
