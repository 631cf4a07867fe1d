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
    /// `address` has the form IP:PORT.
    explicit Client(const std::string& address);
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

private:
    bool receive();

    int m_socket = -1;
    std::string m_buffer;
};

}
