#include "machines.h"

#include "sockets.h"

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

#include <fcntl.h>
#include <nlohmann/json.hpp>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace Review {

namespace {

    constexpr std::chrono::milliseconds poll { 20 };
    constexpr std::chrono::seconds readyLimit { 30 };
    constexpr int peerPortCount = 16;
    /// Two more are for callers and for the probe.
    constexpr int portCount = peerPortCount + 2;
    constexpr int exitCannotExecute = 127;

    /// Returns the first of a range of ports that are free now.
    std::uint16_t freeRange()
    {
        // Below the ports that the system chooses for outgoing connections.
        static int next = 20000 + static_cast<int>(getpid() % 60) * 200;
        while (true) {
            const int first = next;
            next += portCount;
            bool isFree = true;
            for (int i = 0; i < portCount && isFree; ++i) {
                auto port = static_cast<std::uint16_t>(first + i);
                const int listener = listenOnLoopback(port);
                isFree = listener >= 0;
                if (isFree)
                    ::close(listener);
            }
            if (isFree)
                return static_cast<std::uint16_t>(first);
        }
    }

    std::string loopback(std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

}

Machines::Machines(MachineSettings settings, int count)
    : m_settings(std::move(settings))
{
    std::string name = "/tmp/parsleytack-review-XXXXXX";
    m_folder = ::mkdtemp(name.data());
    m_machines.resize(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        m_peerPorts.push_back(freeRange());
        const int afterPeers = m_peerPorts.back() + peerPortCount;
        m_machines.at(static_cast<std::size_t>(i)).callers = static_cast<std::uint16_t>(afterPeers);
        m_machines.at(static_cast<std::size_t>(i)).probe = static_cast<std::uint16_t>(afterPeers + 1);
    }
    for (int i = 0; i < count; ++i)
        start(i);
}

Machines::~Machines()
{
    for (int i = 0; i < count(); ++i)
        end(i, SIGKILL);
    std::error_code ignored;
    std::filesystem::remove_all(m_folder, ignored);
}

std::string Machines::file(int machine, const std::string& ending) const
{
    return m_folder + "/front-" + std::to_string(machine) + ending;
}

void Machines::start(int machine)
{
    Machine& target = m_machines.at(static_cast<std::size_t>(machine));
    const auto index = static_cast<std::size_t>(machine);
    const std::uint16_t firstPeer = m_peerPorts.at(index);
    const nlohmann::json settings { { "host", "front-" + std::to_string(machine) },
        { "zone", m_settings.zones.at(index % m_settings.zones.size()) },
        { "callers", loopback(target.callers) }, { "probe", loopback(target.probe) },
        { "probePath", "/-/readiness" }, { "ip", "127.0.0.1" },
        { "peerPorts", { firstPeer, firstPeer + peerPortCount - 1 } },
        { "store", loopback(m_settings.platform) }, { "promoter", loopback(m_settings.platform) },
        { "promoterChecksFencing", true }, { "shutdownMs", 6000 },
        { "maxDescriptors", m_settings.maxDescriptors }, { "memoryMb", m_settings.memoryMb },
        { "processorShare", 0.25 }, { "toleratedZoneLosses", m_settings.toleratedZoneLosses } };
    std::ofstream(file(machine, ".json")) << settings.dump();
    const std::string variable = "PARSLEYTACK_SETTINGS=" + file(machine, ".json");
    std::string program = m_settings.program;
    std::string option = "--session-proxy";
    std::string path = "PATH=/usr/bin:/bin";
    std::string settingsVariable = variable;
    char* const arguments[] = { program.data(), option.data(), nullptr };
    char* const environment[] = { path.data(), settingsVariable.data(), nullptr };
    const int log
        = ::open(file(machine, ".log").c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, S_IRUSR | S_IWUSR);
    target.pid = ::fork();
    if (target.pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        ::execve(arguments[0], arguments, environment);
        ::_exit(exitCannotExecute);
    }
    ::close(log);
}

void Machines::end(int machine, int signal)
{
    Machine& target = m_machines.at(static_cast<std::size_t>(machine));
    if (target.pid <= 0)
        return;
    ::kill(target.pid, signal);
    ::waitpid(target.pid, nullptr, 0);
    target.pid = -1;
}

bool Machines::hasEnded(int machine)
{
    Machine& target = m_machines.at(static_cast<std::size_t>(machine));
    if (target.pid <= 0 || ::waitpid(target.pid, nullptr, WNOHANG) != target.pid)
        return false;
    target.pid = -1;
    return true;
}

bool Machines::isReady(int machine) const
{
    const int socket = connectToLoopback(at(machine).probe);
    if (socket < 0)
        return false;
    Input input(socket);
    const bool isSent
        = sendAll(socket, "GET /-/readiness HTTP/1.1\r\nHost: front\r\nConnection: close\r\n\r\n");
    const auto line = isSent ? input.line() : std::nullopt;
    ::close(socket);
    return line && line->starts_with("HTTP/1.1 200");
}

bool Machines::awaitReady() const
{
    const auto limit = std::chrono::steady_clock::now() + readyLimit;
    for (int i = 0; i < count(); ++i) {
        while (!isReady(i)) {
            if (std::chrono::steady_clock::now() > limit)
                return false;
            std::this_thread::sleep_for(poll);
        }
    }
    return true;
}

int Machines::machineOf(std::uint16_t port) const
{
    std::ifstream table("/proc/net/tcp");
    std::string inode;
    for (std::string line; std::getline(table, line);) {
        std::istringstream stream(line);
        std::vector<std::string> fields;
        for (std::string field; stream >> field;)
            fields.push_back(field);
        constexpr std::size_t inodeField = 9;
        if (fields.size() <= inodeField || fields[1].find(':') == std::string::npos)
            continue;
        const std::string local = fields[1].substr(fields[1].find(':') + 1);
        // The other end of the connection is listed with the same port as its remote one.
        if (std::strtoul(local.c_str(), nullptr, 16) == port)
            inode = "socket:[" + fields[inodeField] + "]";
    }
    for (int i = 0; i < count(); ++i) {
        std::error_code failed;
        const std::string folder = "/proc/" + std::to_string(at(i).pid) + "/fd";
        for (const auto& entry : std::filesystem::directory_iterator(folder, failed)) {
            if (std::filesystem::read_symlink(entry.path(), failed).string() == inode)
                return i;
        }
    }
    return -1;
}

int Machines::statusKb(int machine, const std::string& name) const
{
    std::ifstream file("/proc/" + std::to_string(at(machine).pid) + "/status");
    for (std::string word; file >> word;) {
        int value = 0;
        if (word == name + ":" && file >> value)
            return value;
    }
    return 0;
}

}
