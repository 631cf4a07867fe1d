#pragma once

#include "sockets.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace Review {

/// A consumer's session. Used on one thread.
class Client {
public:
    Client() = default;
    ~Client();
    Client(const Client&) = delete;
    Client& operator=(const Client&) = delete;

    /// Opens a session; false if it was not accepted.
    bool open(std::uint16_t port, const std::string& database, const std::string& key);
    bool isOpen() const { return m_socket >= 0; }
    /// Sends a statement and returns the lines of the answer up to its READY; fewer if the session ended.
    std::vector<std::string> query(const std::string& id, const std::string& text);
    void close();

private:
    int m_socket = -1;
    std::unique_ptr<Input> m_input;
};

/// Whether the answer says that the statement succeeded.
bool isSuccess(const std::vector<std::string>& answer);
/// The answer in one line, for records.
std::string textOf(const std::vector<std::string>& answer);

}
