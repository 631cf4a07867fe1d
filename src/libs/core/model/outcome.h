#pragma once

#include <cstdint>
#include <string_view>

namespace Model {

/// The effect of a request, as reported to its caller.
enum class Outcome : std::uint8_t {
    Done,
    /// The request changed nothing and may be sent again.
    NotRun,
    /// The request may have taken effect.
    Unknown,
};

/// Returns the name used in responses to callers: `done`, `not_run` or `unknown`.
std::string_view outcomeName(Outcome outcome);

}
