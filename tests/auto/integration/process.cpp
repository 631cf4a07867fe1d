#include "process.h"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <sstream>
#include <thread>

#include <arpa/inet.h>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace Integration {

namespace {

    constexpr std::chrono::milliseconds pollInterval { 10 };
    constexpr mode_t logFileMode = 0600;
    constexpr int exitCannotExecute = 127;

}

bool waitUntil(const std::function<bool()>& condition, std::chrono::milliseconds limit)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        std::this_thread::sleep_for(pollInterval);
    }
    return true;
}

ReservedPort::ReservedPort()
    : m_socket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    const int on = 1;
    setsockopt(m_socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in bound {};
    bound.sin_family = AF_INET;
    bound.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof bound;
    if (bind(m_socket, reinterpret_cast<const sockaddr*>(&bound), size) != 0)
        return;
    getsockname(m_socket, reinterpret_cast<sockaddr*>(&bound), &size);
    m_address = "127.0.0.1:" + std::to_string(ntohs(bound.sin_port));
}

ReservedPort::~ReservedPort() { close(m_socket); }

Process::Process(std::string program, std::vector<std::string> arguments, std::string logFile)
    : m_logFile(std::move(logFile))
{
    arguments.insert(arguments.begin(), std::move(program));
    std::vector<char*> pointers(arguments.size() + 1, nullptr);
    std::ranges::transform(
        arguments, pointers.begin(), [](std::string& argument) { return argument.data(); });
    const int log = open(m_logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, logFileMode);
    m_pid = fork();
    if (m_pid == 0) {
        // The process must not outlive a test program that crashes.
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        dup2(log, STDOUT_FILENO);
        dup2(log, STDERR_FILENO);
        execv(pointers[0], pointers.data());
        _exit(exitCannotExecute);
    }
    close(log);
    m_isRunning = m_pid > 0;
}

Process::~Process() { kill(); }

void Process::signal(int number) const
{
    if (m_isRunning)
        ::kill(m_pid, number);
}

void Process::kill()
{
    signal(SIGKILL);
    waitForExit();
}

int Process::waitForExit(std::chrono::milliseconds limit)
{
    if (m_isRunning)
        m_isRunning = !waitUntil([this] { return waitpid(m_pid, &m_status, WNOHANG) == m_pid; }, limit);
    return !m_isRunning && WIFEXITED(m_status) ? WEXITSTATUS(m_status) : -1;
}

std::string Process::output() const
{
    std::ifstream file(m_logFile);
    std::ostringstream content;
    content << file.rdbuf();
    return content.str();
}

}
