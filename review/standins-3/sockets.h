#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Review {

/// Listens on a free port of 127.0.0.1 and returns the socket; -1 on failure.
int listenOnLoopback(std::uint16_t& port);
/// Connects to a port of 127.0.0.1 and returns the socket; -1 on failure.
int connectToLoopback(std::uint16_t port);
/// Returns false if the connection is broken.
bool sendAll(int socket, std::string_view data);
/// The port of the other end.
std::uint16_t peerPort(int socket);

/// Reads from a socket.
class Input {
public:
    explicit Input(int socket)
        : m_socket(socket)
    {
    }

    /// Returns the next line without its CR LF; `nullopt` if the connection ends before.
    std::optional<std::string> line();
    /// Returns this many bytes; `nullopt` if the connection ends before.
    std::optional<std::string> bytes(std::size_t count);

private:
    bool receive();

    int m_socket;
    std::string m_buffer;
};

}
