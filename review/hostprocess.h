#pragma once

#include <chrono>
#include <string>

#include <sys/types.h>

namespace Review {

/// A process of the program under review, started with the command of the deploy file. The destructor kills
/// it.
class HostProcess {
public:
    /// The program finds its settings through the environment, and appends its output to `logFile`.
    HostProcess(const std::string& settingsFile, const std::string& logFile);
    ~HostProcess();
    HostProcess(const HostProcess&) = delete;
    HostProcess& operator=(const HostProcess&) = delete;

    void signal(int number) const;
    /// Sends SIGKILL and waits until the process has ended.
    void kill();
    /// Returns whether the process has ended within the limit.
    bool waitForExit(std::chrono::milliseconds limit);

private:
    pid_t m_pid = -1;
    int m_status = 0;
    bool m_isRunning = false;
};

}
