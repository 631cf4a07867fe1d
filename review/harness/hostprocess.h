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
    /// How the process ended: "exit CODE" or "signal NUMBER"; "running" before.
    std::string ending() const;
    /// Resident memory in kB; 0 if the process does not run.
    long residentKb() const { return statusField("VmRSS:"); }
    /// Highest resident memory so far, in kB; 0 if the process does not run.
    long peakResidentKb() const { return statusField("VmHWM:"); }

private:
    long statusField(const std::string& name) const;

    pid_t m_pid = -1;
    int m_status = 0;
    bool m_isRunning = false;
};

}
