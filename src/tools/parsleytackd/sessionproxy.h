#pragma once

#include "exitcode.h"
#include "settings/proxysettings.h"

#include <string>

/// Runs the session proxy. SIGTERM and SIGINT shut it down and end the process with ExitCode::Done; SIGHUP
/// reloads the settings file. Returns only if it cannot start, with ExitCode::ListenFailed.
ExitCode runSessionProxy(const std::string& settingsFile, const Settings::ProxySettings& settings);
