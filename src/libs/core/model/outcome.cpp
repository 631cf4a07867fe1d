#include "core/model/outcome.h"

#include <array>

namespace Model {

namespace {

    constexpr std::array<std::string_view, 3> outcomeNames { "done", "not_run", "unknown" };

}

std::string_view outcomeName(Outcome outcome) { return outcomeNames[static_cast<std::size_t>(outcome)]; }

}
