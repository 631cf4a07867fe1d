#include "core/directory/tablewatch.h"

#include <array>

namespace Directory {

namespace {

    /// In the order of `WatchStep`.
    constexpr std::array<std::string_view, 3> stepNames { "pause", "wait_for_change", "read" };

    /// The store responds to a waiting call as soon as the table changes; this allows for a slow store.
    constexpr Model::Duration responseTime = std::chrono::milliseconds(1200);

}

std::string_view watchStepName(WatchStep step) { return stepNames.at(static_cast<std::size_t>(step)); }

bool isAwaitingResponse(const TableWatch& watch)
{
    return watch.step == WatchStep::WaitForChange && watch.receivedBytes == 0;
}

bool isUnresponsive(const TableWatch& watch, Model::Time now)
{
    return isAwaitingResponse(watch) && now - watch.stepStartedAt >= responseTime;
}

}
