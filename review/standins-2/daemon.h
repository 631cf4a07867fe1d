#pragma once

#include "net.h"

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include <sys/types.h>

namespace Review2 {

/// What differs between the hosts of a case; the rest of the settings is that of a small deployment, in the
/// form that the deploy file's template gives them.
struct HostSettings {
    std::string name;
    std::string zone;
    std::string store;
    int graceSeconds = 6;
    int memoryMb = 260;
    int toleratedZoneLosses = 1;
};

/// A process of the system on this machine, started with the command of the deploy file.
class Daemon {
public:
    /// `command` holds the program and its arguments; `folder` receives the settings and the log.
    Daemon(std::vector<std::string> command, const std::string& folder, const HostSettings& settings);
    ~Daemon();
    Daemon(const Daemon&) = delete;
    Daemon& operator=(const Daemon&) = delete;

    const std::string& name() const { return m_name; }
    const std::string& address() const { return m_address; }
    void signal(int number) const;
    /// Waits until the readiness probe succeeds.
    bool waitUntilReady(milliseconds limit) const;
    /// Waits until the process has ended. Returns false if it still runs after `limit`.
    bool waitUntilEnded(milliseconds limit);

private:
    bool isReady() const;

    std::string m_name;
    std::string m_address;
    std::string m_probe;
    pid_t m_pid = -1;
};

/// Splits the command of the deploy file at its spaces.
std::vector<std::string> splitCommand(const std::string& command);

}
