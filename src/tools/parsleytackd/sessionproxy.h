#pragma once

#include "exitcode.h"
#include "settings/proxysettings.h"

/// Runs the session proxy on the platform until SIGTERM.
ExitCode runSessionProxy(const Settings::ProxySettings& settings);
