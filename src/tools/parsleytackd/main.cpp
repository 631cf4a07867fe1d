#include "daemon/host.h"
#include "exitcode.h"
#include "logging/log.h"
#include "sessionproxy.h"
#include "settings/hostsettings.h"
#include "settings/proxysettings.h"

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <string>

#include <tclap/CmdLine.h>

namespace {

struct Arguments {
    std::string settingsFile;
    bool isCheckOnly = false;
    bool isSessionProxy = false;
};

/// Environment variable with the path of the settings file, used if --settings is missing.
constexpr const char* settingsVariable = "PARSLEYTACK_SETTINGS";

Arguments parseArguments(int argc, char** argv)
{
    TCLAP::CmdLine line(
        "The proxy daemon that runs on every host. It is configured by a settings file and by the "
        "objects that operators publish.",
        ' ', PARSLEYTACK_VERSION);
    const char* fromEnvironment = std::getenv(settingsVariable);
    TCLAP::ValueArg<std::string> settings("s", "settings",
        std::string("Settings file (JSON); required unless the environment variable ") + settingsVariable
            + " holds its path",
        !fromEnvironment, fromEnvironment ? fromEnvironment : "", "FILE", line);
    TCLAP::SwitchArg check("c", "check-settings", "Check the settings file and exit", line);
    TCLAP::SwitchArg proxy(
        "p", "session-proxy", "Serve the database protocol in front of the platform's databases", line);
    line.parse(argc, argv);
    return { settings.getValue(), check.getValue(), proxy.getValue() };
}

int exitStatus(ExitCode code) { return static_cast<int>(code); }

int reportValid()
{
    std::cout << "settings are valid\n";
    return exitStatus(ExitCode::Done);
}

int rejectSettings(const std::string& reason)
{
    Logging::configure({});
    Logging::write(Logging::EventId::SettingsInvalid, { { "reason", reason } });
    std::cerr << reason << '\n';
    return exitStatus(ExitCode::SettingsInvalid);
}

int serve(const Settings::HostSettings& settings)
{
    // Threads that are started later inherit the mask, so that only sigwait() below receives the signals.
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
        return exitStatus(ExitCode::ListenFailed);
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
        return exitStatus(ExitCode::Superseded);
    return exitStatus(isComplete ? ExitCode::Done : ExitCode::DrainIncomplete);
}

}

int main(int argc, char** argv)
{
    try {
        const Arguments arguments = parseArguments(argc, argv);
        if (arguments.isSessionProxy) {
            const auto settings = Settings::loadProxySettings(arguments.settingsFile);
            if (!settings)
                return rejectSettings(settings.error().message);
            if (arguments.isCheckOnly)
                return reportValid();
            return exitStatus(runSessionProxy(arguments.settingsFile, *settings));
        }
        const auto settings = Settings::loadHostSettings(arguments.settingsFile);
        if (!settings)
            return rejectSettings(settings.error().message);
        return arguments.isCheckOnly ? reportValid() : serve(*settings);
    } catch (const TCLAP::ArgException& error) {
        std::cerr << error.error() << ": " << error.argId() << '\n';
        return exitStatus(ExitCode::Usage);
    }
}
