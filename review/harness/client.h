#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace Review {

/// The response to one statement. `isWhole` is set if its READY line has arrived.
struct Answer {
    std::vector<std::string> rows;
    /// COMPLETE or ERROR line; empty if neither has arrived.
    std::string result;
    /// The READY line.
    std::string ready;
    bool isWhole = false;

    bool isSuccess() const { return isWhole && result.starts_with("COMPLETE"); }
    /// The error code; empty without an error.
    std::string errorCode() const;
};

/// A consumer's connection to a host. Not thread-safe.
class Client {
public:
    /// `address` has the form IP:PORT. A `receiveBuffer` other than 0 limits the socket's receive buffer.
    explicit Client(const std::string& address, int receiveBuffer = 0);
    ~Client();
    Client(const Client&) = delete;
    Client& operator=(const Client&) = delete;

    /// Opens a session. Returns whether it was accepted.
    bool open(const std::string& database, const std::string& key);
    /// Sends a statement and waits for the whole response.
    Answer query(const std::string& id, const std::string& text);
    bool send(const std::string& bytes);
    Answer receiveAnswer();
    /// The next line; `nullopt` if the connection has ended or nothing arrives in time.
    std::optional<std::string> line();
    /// Reads at most `size` bytes into the buffer of `line`. Returns the number of bytes; 0 or less at the
    /// end.
    long receive(std::size_t size);
    /// Number of bytes received so far.
    std::size_t receivedBytes() const { return m_received; }
    /// Received data that `line` has not returned yet.
    const std::string& pending() const { return m_buffer; }

private:
    int m_socket = -1;
    std::string m_buffer;
    std::size_t m_received = 0;
};

}
