#pragma once

#include <cstddef>
#include <string>
#include <vector>

/// Connections of clients that send and do not read. All are served by the thread that calls `send`, without
/// waiting for any one of them.
class Crowd {
public:
    /// `address` has the form IP:PORT. The receive buffers are as small as the system permits.
    Crowd(const std::string& address, int clients);
    ~Crowd();
    Crowd(const Crowd&) = delete;
    Crowd& operator=(const Crowd&) = delete;

    /// Sends `text` followed by `repetitions` times `repeated` on each connection, at most `piece` bytes of
    /// each at a time. Returns when everything is sent, or no connection accepts more for 1.5 s.
    void send(const std::string& text, const std::string& repeated = {}, int repetitions = 0,
        std::size_t piece = maxPiece);

private:
    static constexpr std::size_t maxPiece = 64UL * 1024;

    std::vector<int> m_sockets;
};
