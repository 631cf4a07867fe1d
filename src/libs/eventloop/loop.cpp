#include "eventloop/loop.h"

#include <utility>

#include <ctime>
#include <uv.h>

namespace EventLoop {

Model::Time now()
{
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return Model::Time(std::chrono::duration_cast<Model::Duration>(
        std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec)));
}

struct Loop::Private {
    struct SignalWatch {
        uv_signal_t handle {};
        std::function<void()> handler;
    };

    uv_loop_t loop {};
    uv_async_t wakeUp {};
    std::mutex mutex;
    /// Guarded by `mutex`.
    std::vector<std::function<void()>> tasks;
    std::vector<std::unique_ptr<SignalWatch>> signals;

    static void onWakeUp(uv_async_t* handle)
    {
        auto* self = static_cast<Private*>(handle->data);
        std::vector<std::function<void()>> tasks;
        {
            const std::lock_guard lock(self->mutex);
            tasks.swap(self->tasks);
        }
        for (const auto& task : tasks)
            task();
    }

    static void onSignal(uv_signal_t* handle, int /*number*/)
    {
        static_cast<SignalWatch*>(handle->data)->handler();
    }
};

Loop::Loop()
    : m_d(std::make_unique<Private>())
{
    uv_loop_init(&m_d->loop);
    m_d->wakeUp.data = m_d.get();
    uv_async_init(&m_d->loop, &m_d->wakeUp, &Private::onWakeUp);
}

Loop::~Loop()
{
    // uv_loop_close fails while handles are open. Those of the loop itself and of objects that outlive the
    // last iteration are still open: they are closed here, and the pending close callbacks run.
    uv_walk(
        &m_d->loop,
        [](uv_handle_t* handle, void*) {
            if (!uv_is_closing(handle))
                uv_close(handle, nullptr);
        },
        nullptr);
    uv_run(&m_d->loop, UV_RUN_DEFAULT);
    uv_loop_close(&m_d->loop);
}

void Loop::run() { uv_run(&m_d->loop, UV_RUN_DEFAULT); }

void Loop::stop() { uv_stop(&m_d->loop); }

void Loop::post(std::function<void()> task)
{
    {
        const std::lock_guard lock(m_d->mutex);
        m_d->tasks.push_back(std::move(task));
    }
    uv_async_send(&m_d->wakeUp);
}

void Loop::onSignal(int number, std::function<void()> handler)
{
    auto watch = std::make_unique<Private::SignalWatch>();
    watch->handler = std::move(handler);
    watch->handle.data = watch.get();
    uv_signal_init(&m_d->loop, &watch->handle);
    uv_signal_start(&watch->handle, &Private::onSignal, number);
    m_d->signals.push_back(std::move(watch));
}

uv_loop_s* Loop::handle() const { return &m_d->loop; }

}
