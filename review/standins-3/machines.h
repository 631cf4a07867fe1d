#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <sys/types.h>

namespace Review {

/// One machine that runs the session proxy.
struct Machine {
    std::uint16_t callers = 0;
    std::uint16_t probe = 0;
    pid_t pid = -1;
};

/// What all machines have in common.
struct MachineSettings {
    /// Command of the deploy file, relative to the repository root.
    std::string program = "target/src/tools/parsleytackd/parsleytackd";
    std::uint16_t platform = 0;
    int memoryMb = 260;
    int maxDescriptors = 4200;
    int toleratedZoneLosses = 1;
    std::vector<std::string> zones;
};

/// Starts the processes of the machines, with settings as the platform makes them from the template, and ends
/// them. Used on one thread, but for `machineOf`.
class Machines {
public:
    Machines(MachineSettings settings, int count);
    ~Machines();
    Machines(const Machines&) = delete;
    Machines& operator=(const Machines&) = delete;

    void start(int machine);
    /// Ends the process of a machine with this signal and waits for its end.
    void end(int machine, int signal);
    const Machine& at(int machine) const { return m_machines.at(static_cast<std::size_t>(machine)); }
    int count() const { return static_cast<int>(m_machines.size()); }
    /// Waits until all machines are ready; false after 30 s.
    bool awaitReady() const;
    bool isReady(int machine) const;
    /// The machine whose process has a connection from this local port; -1 if there is none.
    int machineOf(std::uint16_t port) const;
    /// Whether the process has ended by itself; it is reaped then.
    bool hasEnded(int machine);
    /// A value in kB from the process's status, for example `VmRSS`; 0 if there is none.
    int statusKb(int machine, const std::string& name) const;

private:
    std::string file(int machine, const std::string& ending) const;

    MachineSettings m_settings;
    std::string m_folder;
    std::vector<Machine> m_machines;
    std::vector<std::uint16_t> m_peerPorts;
};

}
