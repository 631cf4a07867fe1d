#include "hostprocess.h"

#include "../tests/auto/integration/process.h"

#include <csignal>
#include <cstdlib>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace Review {

namespace {

    constexpr const char* program = "target/src/tools/parsleytackd/parsleytackd";
    constexpr const char* mode = "--session-proxy";
    constexpr const char* settingsVariable = "PARSLEYTACK_SETTINGS";
    constexpr mode_t logFileMode = 0600;
    constexpr int exitCannotExecute = 127;
    constexpr auto killLimit = std::chrono::seconds(5);

}

HostProcess::HostProcess(const std::string& settingsFile, const std::string& logFile)
{
    const int log = ::open(logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, logFileMode);
    const std::string settings = std::string(settingsVariable) + "=" + settingsFile;
    const std::string path = std::string("PATH=") + (std::getenv("PATH") ? std::getenv("PATH") : "");
    m_pid = ::fork();
    if (m_pid == 0) {
        // The process must not outlive a driver that crashes.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        ::execle(program, program, mode, nullptr,
            std::initializer_list<const char*> { settings.c_str(), path.c_str(), nullptr }.begin());
        ::_exit(exitCannotExecute);
    }
    ::close(log);
    m_isRunning = m_pid > 0;
}

HostProcess::~HostProcess() { kill(); }

void HostProcess::signal(int number) const
{
    if (m_isRunning)
        ::kill(m_pid, number);
}

void HostProcess::kill()
{
    signal(SIGKILL);
    waitForExit(killLimit);
}

bool HostProcess::waitForExit(std::chrono::milliseconds limit)
{
    if (m_isRunning) {
        m_isRunning = !Integration::waitUntil(
            [this] { return ::waitpid(m_pid, &m_status, WNOHANG) == m_pid; }, limit);
    }
    return !m_isRunning;
}

}
