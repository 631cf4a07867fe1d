#include "daemon.h"

#include <array>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <thread>

#include <fcntl.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace Review2 {

namespace {

    constexpr int peerPortCount = 4;
    constexpr milliseconds pollPeriod { 20 };
    constexpr milliseconds endLimit { 2000 };

    std::string loopback(int port) { return "127.0.0.1:" + std::to_string(port); }

}

Daemon::Daemon(std::vector<std::string> command, const std::string& folder, const HostSettings& settings)
    : m_name(settings.name)
    , m_address(loopback(freePort()))
    , m_probe(loopback(freePort()))
{
    const int firstPeerPort = freePorts(peerPortCount);
    const nlohmann::json json { { "host", m_name }, { "zone", settings.zone }, { "callers", m_address },
        { "probe", m_probe }, { "probePath", "/-/readiness" }, { "ip", "127.0.0.1" },
        { "peerPorts", { firstPeerPort, firstPeerPort + peerPortCount - 1 } }, { "store", settings.store },
        { "promoter", settings.store }, { "promoterChecksFencing", true },
        { "shutdownMs", settings.graceSeconds * 1000 }, { "maxDescriptors", 4200 },
        { "memoryMb", settings.memoryMb }, { "processorShare", 0.25 },
        { "toleratedZoneLosses", settings.toleratedZoneLosses } };
    const std::string settingsFile = folder + "/" + m_name + ".json";
    std::ofstream(settingsFile) << json.dump(1);
    const std::string logFile = folder + "/" + m_name + ".log";

    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    constexpr int logMode = 0600;
    posix_spawn_file_actions_addopen(
        &actions, STDOUT_FILENO, logFile.c_str(), O_WRONLY | O_CREAT | O_TRUNC, logMode);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    std::vector<char*> arguments;
    arguments.reserve(command.size() + 1);
    for (std::string& word : command)
        arguments.push_back(word.data());
    arguments.push_back(nullptr);
    std::string variable = "PARSLEYTACK_SETTINGS=" + settingsFile;
    std::array<char*, 2> environment { variable.data(), nullptr };
    if (posix_spawn(&m_pid, arguments[0], &actions, nullptr, arguments.data(), environment.data()) != 0)
        m_pid = -1;
    posix_spawn_file_actions_destroy(&actions);
}

Daemon::~Daemon()
{
    signal(SIGKILL);
    waitUntilEnded(endLimit);
}

void Daemon::signal(int number) const
{
    if (m_pid > 0)
        ::kill(m_pid, number);
}

bool Daemon::isReady() const
{
    const int socket = connectTo(m_probe);
    if (socket < 0)
        return false;
    LineReader reader(socket);
    sendAll(socket, "GET /-/readiness HTTP/1.1\r\nHost: probe\r\nConnection: close\r\n\r\n");
    const auto line = reader.next();
    ::close(socket);
    return line && line->find(" 200 ") != std::string::npos;
}

bool Daemon::waitUntilReady(milliseconds limit) const
{
    const auto end = Clock::now() + limit;
    while (Clock::now() < end) {
        if (isReady())
            return true;
        std::this_thread::sleep_for(pollPeriod);
    }
    return false;
}

bool Daemon::waitUntilEnded(milliseconds limit)
{
    const auto end = Clock::now() + limit;
    while (m_pid > 0 && Clock::now() < end) {
        if (::waitpid(m_pid, nullptr, WNOHANG) == m_pid)
            m_pid = -1;
        else
            std::this_thread::sleep_for(pollPeriod);
    }
    return m_pid <= 0;
}

std::vector<std::string> splitCommand(const std::string& command)
{
    std::istringstream stream(command);
    std::vector<std::string> words;
    for (std::string word; stream >> word;)
        words.push_back(word);
    return words;
}

}
