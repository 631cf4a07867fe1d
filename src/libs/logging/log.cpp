#include "logging/log.h"

#include <easylogging++.h>
#include <nlohmann/json.hpp>

INITIALIZE_EASYLOGGINGPP

namespace Logging {

namespace {

    LogSettings s_settings;

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

void write(EventId id, std::initializer_list<Field> fields)
{
    const EventInfo& info = eventInfo(id);
    nlohmann::ordered_json line { { "event", static_cast<int>(id) }, { "name", info.name } };
    line["host"] = s_settings.host;
    for (const Field& field : fields)
        line[std::string(field.name)] = field.value;
    const std::string text = line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
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
