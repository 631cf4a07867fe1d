#pragma once

/// Exit codes; docs/OPERATIONS.md lists them.
enum class ExitCode {
    Done = 0,
    Usage = 2,
    SettingsInvalid = 3,
    ListenFailed = 4,
    DrainIncomplete = 5,
    Superseded = 6,
};
