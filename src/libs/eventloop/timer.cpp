#include "eventloop/timer.h"

#include "eventloop/loop.h"

#include <algorithm>

#include <uv.h>

namespace EventLoop {

struct Timer::Private {
    uv_timer_t handle {};
    std::function<void()> handler;

    static void onTimer(uv_timer_t* handle) { static_cast<Private*>(handle->data)->handler(); }
};

Timer::Timer(Loop& loop, std::function<void()> handler)
    : m_d(new Private)
{
    m_d->handler = std::move(handler);
    m_d->handle.data = m_d;
    uv_timer_init(loop.handle(), &m_d->handle);
}

Timer::~Timer()
{
    // libuv uses the handle until the close callback has run.
    uv_close(reinterpret_cast<uv_handle_t*>(&m_d->handle),
        [](uv_handle_t* handle) { delete static_cast<Private*>(handle->data); });
}

void Timer::start(Model::Duration delay)
{
    const auto rounded
        = std::max(std::chrono::ceil<std::chrono::milliseconds>(delay), std::chrono::milliseconds(0));
    // libuv counts the delay from the time that it cached at the start of the loop iteration.
    uv_update_time(m_d->handle.loop);
    uv_timer_start(&m_d->handle, &Private::onTimer, static_cast<std::uint64_t>(rounded.count()), 0);
}

void Timer::stop() { uv_timer_stop(&m_d->handle); }

}
