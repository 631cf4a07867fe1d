#pragma once

#include "common/httpserver.h"
#include "settings/hostsettings.h"

#include <string>

namespace Standins {

/// Reads `IP:PORT`, where port 0 lets the system choose. Ends the program with a message otherwise.
Settings::Address parseListenAddress(const std::string& text);

/// Blocks the signals that end the program. To be called before any thread starts.
void blockTerminationSignals();

/// Prints `listening IP:PORT` and returns on SIGTERM or SIGINT; false if the server does not listen.
bool serveUntilTerminated(const HttpServer& server, const std::string& ip);

/// Ends the process without waiting for handlers that block.
[[noreturn]] void endProcess(bool isSuccess);

}
