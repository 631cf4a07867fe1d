#pragma once

#include "exitcode.h"
#include "settings/proxysettings.h"

#include <string>

/// Runs the session proxy on the platform. Ends the process after SIGTERM; returns only if it cannot start.
/// SIGHUP reads the settings file again.
ExitCode runSessionProxy(const std::string& settingsFile, const Settings::ProxySettings& settings);
