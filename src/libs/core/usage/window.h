#pragma once

#include "core/model/time.h"

#include <cstdint>
#include <map>
#include <string>

namespace Usage {

/// Number of a window: the whole windows between 1970-01-01 00:00 UTC and its start.
using Window = std::uint64_t;

/// Statements by customer.
using Counts = std::map<std::string, std::uint64_t>;

/// How many windows a host keeps in memory: the current one, those whose report is not due yet, and one more
/// for clocks that differ. A report is due within `due` after the end of its window.
constexpr Window keptWindows(Model::Duration window, Model::Duration due)
{
    return static_cast<Window>((due + window - Model::Duration(1)) / window) + 2;
}

}
