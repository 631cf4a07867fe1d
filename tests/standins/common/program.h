#pragma once

#include "common/httpserver.h"
#include "settings/hostsettings.h"

#include <string>

namespace Standins {

/// Parses `IP:PORT`; port 0 lets the system choose a port. If `text` is malformed, prints an error message
/// and ends the process with a failure code.
Settings::Address parseListenAddress(const std::string& text);

/// Blocks SIGTERM and SIGINT, which serveUntilTerminated() waits for, and ignores SIGPIPE. Must be called
/// before any thread starts, so that all threads inherit the signal mask.
void blockTerminationSignals();

/// Prints `listening IP:PORT` and waits for SIGTERM or SIGINT. Returns false at once if the server does not
/// listen.
bool serveUntilTerminated(const HttpServer& server, const std::string& ip);

/// Ends the process at once, without waiting for blocked handlers.
[[noreturn]] void endProcess(bool isSuccess);

}
