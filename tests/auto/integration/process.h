#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace Integration {

/// Polls `condition` every 10 ms until it holds; returns false if it does not hold within the limit.
bool waitUntil(
    const std::function<bool()>& condition, std::chrono::milliseconds limit = std::chrono::seconds(40));

/// A port on 127.0.0.1 chosen by the system. The socket stays bound without listening, so that the system
/// does not assign the port to another process, while a process that sets SO_REUSEADDR can still listen on
/// it.
class ReservedPort {
public:
    ReservedPort();
    ~ReservedPort();
    ReservedPort(const ReservedPort&) = delete;
    ReservedPort& operator=(const ReservedPort&) = delete;

    /// IP:PORT; empty if no port could be bound.
    const std::string& address() const { return m_address; }

private:
    int m_socket = -1;
    std::string m_address;
};

/// A process started by the test. Its output is appended to a file; the destructor kills it.
class Process {
public:
    Process(std::string program, std::vector<std::string> arguments, std::string logFile);
    ~Process();
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    pid_t pid() const { return m_pid; }
    void signal(int number) const;
    /// Sends SIGKILL and waits until the process has ended.
    void kill();
    /// Waits until the process has ended. Returns its exit code; -1 if it was ended by a signal or still runs
    /// after the limit.
    int waitForExit(std::chrono::milliseconds limit = std::chrono::seconds(40));
    /// Standard output and standard error so far.
    std::string output() const;
    /// Path of the file with the output.
    const std::string& logFile() const { return m_logFile; }

private:
    std::string m_logFile;
    pid_t m_pid = -1;
    int m_status = 0;
    bool m_isRunning = false;
};

}
