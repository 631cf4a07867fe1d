#include "core/directory/tablewatch.h"

#include <array>

namespace Directory {

namespace {

    /// In the order of `WatchStep`.
    constexpr std::array<std::string_view, 3> stepNames { "pause", "wait_for_change", "read" };

}

std::string_view watchStepName(WatchStep step) { return stepNames.at(static_cast<std::size_t>(step)); }

}
