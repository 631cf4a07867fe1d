#include "daemon/host.h"
#include "logging/log.h"
#include "settings/hostsettings.h"

#include <csignal>
#include <iostream>
#include <string>

#include <tclap/CmdLine.h>

namespace {

/// Exit codes; docs/operations.md lists them.
enum class ExitCode {
    Done = 0,
    Usage = 2,
    SettingsInvalid = 3,
    ListenFailed = 4,
    DrainIncomplete = 5,
    Superseded = 6,
};

struct Arguments {
    std::string settingsFile;
    bool isCheckOnly = false;
};

Arguments parseArguments(int argc, char** argv)
{
    TCLAP::CmdLine line(
        "The proxy daemon that runs on every host. It is configured by a settings file and by the "
        "objects that operators publish.",
        ' ', PARSLEYTACK_VERSION);
    TCLAP::ValueArg<std::string> settings("s", "settings", "Settings file (JSON)", true, "", "FILE", line);
    TCLAP::SwitchArg check("c", "check-settings", "Check the settings file and exit", line);
    line.parse(argc, argv);
    return { settings.getValue(), check.getValue() };
}

int exitWith(ExitCode code) { return static_cast<int>(code); }

int serve(const Settings::HostSettings& settings)
{
    // All threads inherit the mask, so that only this one receives the signals.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);

    Logging::configure({ settings.logFile, settings.host, settings.traceSampleRate });
    Daemon::Host host(settings);
    if (const auto error = host.start()) {
        Logging::write(Logging::EventId::ListenFailed, { { "reason", *error } });
        return exitWith(ExitCode::ListenFailed);
    }
    Logging::write(Logging::EventId::ProcessStarted,
        { { "callers", settings.callers.text() }, { "operators", settings.operators.text() },
            { "peers", settings.peers.text() } });
    int signal = 0;
    sigwait(&signals, &signal);
    Logging::write(Logging::EventId::DrainStarted);
    const bool isComplete = host.drain();
    host.stop();
    Logging::write(Logging::EventId::ProcessStopped);
    if (host.isSuperseded())
        return exitWith(ExitCode::Superseded);
    return exitWith(isComplete ? ExitCode::Done : ExitCode::DrainIncomplete);
}

}

int main(int argc, char** argv)
{
    try {
        const Arguments arguments = parseArguments(argc, argv);
        const auto settings = Settings::loadHostSettings(arguments.settingsFile);
        if (!settings) {
            Logging::configure({});
            Logging::write(Logging::EventId::SettingsInvalid, { { "reason", settings.error().message } });
            std::cerr << settings.error().message << '\n';
            return exitWith(ExitCode::SettingsInvalid);
        }
        if (arguments.isCheckOnly) {
            std::cout << "settings are valid\n";
            return exitWith(ExitCode::Done);
        }
        return serve(*settings);
    } catch (const TCLAP::ArgException& error) {
        std::cerr << error.error() << ": " << error.argId() << '\n';
        return exitWith(ExitCode::Usage);
    }
}
