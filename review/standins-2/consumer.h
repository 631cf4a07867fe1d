#pragma once

#include "net.h"

#include <optional>
#include <string>
#include <vector>

namespace Review2 {

/// The answer to a statement of a consumer.
struct Answer {
    std::vector<std::string> rows;
    /// Receipt of a completed statement; empty for an error.
    std::string receipt;
    /// Code of an error, for example `BUSY`; empty for a completed statement.
    std::string code;
    /// State after the statement: I, T or E.
    char state = ' ';
    /// The connection ended before the answer was complete.
    bool isCut = false;

    std::string text() const
    {
        if (isCut)
            return "connection ended without a complete answer";
        return code.empty() ? "COMPLETE " + receipt : "ERROR " + code;
    }
};

/// A session of a consumer. Used on one thread.
class Consumer {
public:
    explicit Consumer(const std::string& address);
    ~Consumer();
    Consumer(const Consumer&) = delete;
    Consumer& operator=(const Consumer&) = delete;

    /// Opens the session. Returns false if it was refused.
    bool open(const std::string& database, const std::string& key);
    Answer query(const std::string& id, const std::string& text);
    /// Sends bytes as they are.
    bool send(std::string_view bytes) const { return sendAll(m_socket, bytes); }
    Answer readAnswer();

private:
    int m_socket;
    LineReader m_reader;
};

}
