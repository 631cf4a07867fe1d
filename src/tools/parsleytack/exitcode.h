#pragma once

namespace Tool {

/// Exit codes of the program. docs/OPERATIONS.md lists them.
enum class ExitCode {
    Done = 0,
    Refused = 1,
    Usage = 2,
    NotReachable = 3,
    OutcomeUnknown = 4,
};

}
