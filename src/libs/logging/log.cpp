#include "logging/log.h"

#include <atomic>

#include <easylogging++.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <unistd.h>

namespace Logging {

namespace {

    /// Longer lines are truncated. It is below the 4,096 bytes that `isOutputReady` ensures, with space for
    /// the time and the severity, so that writing a line to a pipe does not block.
    constexpr std::size_t maxLineBytes = 3500;

    LogSettings s_settings;
    /// Lines discarded since the last one that was written.
    std::atomic<std::uint64_t> s_droppedLines = 0;

    /// Returns whether a line can be written to standard output without blocking. A pipe that is ready
    /// accepts at least 4,096 bytes, which is longer than any line.
    bool isOutputReady()
    {
        pollfd output { STDOUT_FILENO, POLLOUT, 0 };
        return poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
    }

}

void configure(const LogSettings& settings)
{
    s_settings = settings;
    el::Configurations configurations;
    configurations.setToDefault();
    configurations.setGlobally(el::ConfigurationType::Format, "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level %msg");
    const bool toFile = !settings.file.empty();
    configurations.setGlobally(el::ConfigurationType::ToFile, toFile ? "true" : "false");
    configurations.setGlobally(el::ConfigurationType::ToStandardOutput, toFile ? "false" : "true");
    if (toFile)
        configurations.setGlobally(el::ConfigurationType::Filename, settings.file);
    el::Loggers::reconfigureAllLoggers(configurations);
}

const LogSettings& currentSettings() { return s_settings; }

void setTraceSampleRate(double rate) { s_settings.traceSampleRate = rate; }

void write(EventId id, std::initializer_list<Field> fields)
{
    // If the process that reads the log stops reading, this process must not block.
    if (s_settings.file.empty() && !isOutputReady()) {
        ++s_droppedLines;
        return;
    }
    const EventInfo& info = eventInfo(id);
    nlohmann::ordered_json line { { "event", static_cast<int>(id) }, { "name", info.name } };
    line["host"] = s_settings.host;
    for (const Field& field : fields)
        line[std::string(field.name)] = field.value;
    if (const std::uint64_t dropped = s_droppedLines.exchange(0); dropped > 0)
        line["droppedLines"] = dropped;
    std::string text = line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    if (text.size() > maxLineBytes)
        text.resize(maxLineBytes);
    switch (info.severity) {
    case Severity::Info:
        LOG(INFO) << text;
        break;
    case Severity::Warning:
        LOG(WARNING) << text;
        break;
    case Severity::Error:
        LOG(ERROR) << text;
        break;
    }
}

}
