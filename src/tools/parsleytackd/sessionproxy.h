#pragma once

#include "exitcode.h"
#include "settings/proxysettings.h"

/// Runs the session proxy on the platform. Ends the process after SIGTERM; returns only if it cannot start.
ExitCode runSessionProxy(const Settings::ProxySettings& settings);
