#pragma once

#include <cstdint>
#include <string_view>

namespace Model {

/// What a caller is told about the effect of its request.
enum class Outcome : std::uint8_t {
    Done,
    NotRun,
    Unknown,
};

/// The name used in answers to callers: `done`, `not_run` or `unknown`.
std::string_view outcomeName(Outcome outcome);

}
