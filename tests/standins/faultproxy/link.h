#pragma once

#include "common/httpserver.h"
#include "settings/hostsettings.h"

#include <chrono>
#include <deque>
#include <memory>
#include <mutex>
#include <vector>

namespace Standins {

/// Forwards TCP connections from one address to another and injects faults. `run` owns the sockets and
/// uses one thread; any thread may call the other functions.
class Link {
public:
    Link(std::string name, const Settings::Address& listen, Settings::Address target);

    const std::string& name() const { return m_name; }
    bool isListening() const { return m_listener >= 0; }
    std::uint16_t port() const;
    /// Forwards; does not return.
    void run();
    /// Sets the faults named in the body. main.cpp describes the fields.
    void configure(const Json& body);
    Json state() const;

private:
    using Clock = std::chrono::steady_clock;

    struct Chunk {
        Clock::time_point due;
        std::string data;
    };

    struct Direction {
        std::deque<Chunk> pending;
        std::size_t pendingSize = 0;
        bool isClosed = false;
        bool isShutDown = false;
    };

    struct Connection {
        int client = -1;
        int target = -1;
        Direction toTarget;
        Direction toClient;
        /// What the client sent since the last answer.
        std::string request;
        bool isAnswering = false;
        bool isFrozen = false;
        bool isHeld = false;
        bool isFinished = false;
    };

    void accept();
    void serve(Connection& connection, short clientEvents, short targetEvents);
    void readRequest(Connection& connection);
    void readAnswer(Connection& connection);
    /// Reads once; true if data arrived, false at the end of the stream.
    bool readInto(int socket, Direction& direction, std::string& data);
    void enqueue(Direction& direction, std::string data);
    void flush(Connection& connection);
    void flushDirection(int socket, Direction& direction, bool isBlocked, Connection& connection);
    void releaseHeld();
    bool matches(const Connection& connection) const;
    int pollTimeoutMs() const;

    std::string m_name;
    Settings::Address m_target;
    int m_listener = -1;
    int m_wakeUp = -1;

    mutable std::mutex m_mutex;
    std::vector<std::unique_ptr<Connection>> m_connections;
    /// Connections whose answers are held back, in the order of arrival.
    std::vector<Connection*> m_held;
    Clock::time_point m_lastHeldData;
    bool m_cutsToTarget = false;
    bool m_cutsToClient = false;
    bool m_refusesNew = false;
    std::chrono::milliseconds m_delay { 0 };
    std::uint64_t m_lossesLeft = 0;
    std::size_t m_holdsLeft = 0;
    std::string m_match;
    std::uint64_t m_opened = 0;
    std::uint64_t m_lost = 0;
    std::uint64_t m_heldAnswers = 0;
    std::uint64_t m_frozen = 0;
};

}
