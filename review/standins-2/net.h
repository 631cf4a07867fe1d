#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// Stand-ins and helpers of the cases 6 to 10.
namespace Review2 {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// Listens on a free port of 127.0.0.1. Ends the program if that fails.
int listenOnFreePort(std::uint16_t& port);
/// Listens on a port of 127.0.0.1 that was free before. Ends the program if that fails.
int listenOnPort(std::uint16_t port);
/// Returns a port of 127.0.0.1 that is free now.
std::uint16_t freePort();
/// Returns the first of `count` consecutive ports of 127.0.0.1 that are free now.
std::uint16_t freePorts(int count);
/// Connects to IP:PORT. Returns -1 on failure.
int connectTo(const std::string& address);
bool sendAll(int socket, std::string_view bytes);

/// Reads lines that end with CR LF from a socket.
class LineReader {
public:
    explicit LineReader(int socket)
        : m_socket(socket)
    {
    }

    /// Returns the next line without its end, or `nullopt` at the end of the connection.
    std::optional<std::string> next();
    /// Returns the next `count` bytes, or fewer at the end of the connection.
    std::string bytes(std::size_t count);

private:
    bool receive();

    int m_socket;
    std::string m_buffer;
    /// Start of the part of the buffer that has not been searched for a line end.
    std::size_t m_searched = 0;
};

}
