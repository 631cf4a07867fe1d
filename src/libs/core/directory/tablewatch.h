#pragma once

#include "core/model/time.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace Directory {

/// What a host does at present to follow a table of the store.
enum class WatchStep : std::uint8_t {
    /// Pauses between two calls; none is in progress.
    Pause,
    /// A call waits until the table changes.
    WaitForChange,
    /// A call reads the whole table or, without waiting, the changes that the host has missed.
    Read,
};

std::string_view watchStepName(WatchStep step);

/// State of the watch of one table.
struct TableWatch {
    WatchStep step = WatchStep::Pause;
    Model::Time stepStartedAt;
    /// Bytes of the response to the call in progress that have arrived.
    std::uint64_t receivedBytes = 0;
    /// Calls that have failed since the last successful one.
    int failures = 0;
};

/// Whether a call waits for a change and nothing of its response has arrived.
bool isAwaitingResponse(const TableWatch& watch);

/// Whether the call in progress is on an unresponsive connection, given that the table has changed long
/// before `now`: it has waited for long, and nothing of a response has arrived. A call that reads what was
/// missed is not: to begin it again would undo its progress, and its own time limits end it.
bool isUnresponsive(const TableWatch& watch, Model::Time now);

/// A call of a watch that has failed.
struct FailedRead {
    std::string table;
    std::string error;
    TableWatch watch;
    /// How long the call took.
    Model::Duration duration {};
};

}
