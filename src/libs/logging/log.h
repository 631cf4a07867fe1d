#pragma once

#include "logging/eventid.h"

#include <initializer_list>
#include <string>
#include <string_view>

namespace Logging {

/// Named value of an event.
struct Field {
    std::string_view name;
    std::string value;
};

struct LogSettings {
    /// Path of the log file; empty for standard output.
    std::string file;
    /// Name of this host, written in each line.
    std::string host;
    /// Fraction of the traces started in this process whose spans are logged, from 0 to 1.
    double traceSampleRate = 1;
};

/// Sets the destination and the content of the log. To be called before other threads write events.
void configure(const LogSettings& settings);
const LogSettings& currentSettings();
/// Changes the fraction of the traces that are logged. Only the thread that starts traces may call it.
void setTraceSampleRate(double rate);

/// Writes one line with the event's number and name, the host and `fields` as a JSON object. If standard
/// output is not ready, the line is discarded instead of blocking; the next line contains the number of
/// discarded lines as `droppedLines`. Any thread may call it.
void write(EventId id, std::initializer_list<Field> fields = {});

}
