#include "common/program.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>

#include <unistd.h>

namespace Standins {

namespace {

    sigset_t terminationSignals()
    {
        sigset_t signals;
        sigemptyset(&signals);
        sigaddset(&signals, SIGTERM);
        sigaddset(&signals, SIGINT);
        return signals;
    }

}

Settings::Address parseListenAddress(const std::string& text)
{
    if (const auto address = Settings::parseAddress(text))
        return *address;
    if (text.ends_with(":0"))
        return { text.substr(0, text.size() - 2), 0 };
    std::fprintf(stderr, "invalid address, expected IP:PORT: %s\n", text.c_str());
    endProcess(false);
}

void blockTerminationSignals()
{
    const sigset_t signals = terminationSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

bool serveUntilTerminated(const HttpServer& server, const std::string& ip)
{
    if (!server.isListening()) {
        std::fprintf(stderr, "cannot listen on address %s\n", ip.c_str());
        return false;
    }
    std::printf("listening %s:%d\n", ip.c_str(), server.port());
    std::fflush(stdout);
    const sigset_t signals = terminationSignals();
    int received = 0;
    sigwait(&signals, &received);
    return true;
}

void endProcess(bool isSuccess) { _exit(isSuccess ? EXIT_SUCCESS : EXIT_FAILURE); }

}
