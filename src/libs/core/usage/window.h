#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace Usage {

/// Number of a window: the whole windows between 1970-01-01 00:00 UTC and its start.
using Window = std::uint64_t;

/// Statements by customer.
using Counts = std::map<std::string, std::uint64_t>;

/// Windows that a host keeps in memory: the current one and those whose report may not be accepted yet.
constexpr Window keptWindows = 4;

}
