#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Http {

enum class Method : std::uint8_t {
    Get,
    Post,
    Put,
};

/// Whether a request may open a new TCP connection or has to use the open one.
enum class ConnectionUse : std::uint8_t {
    OpenIfNeeded,
    OnlyEstablished,
};

enum class Status : std::uint8_t {
    /// The whole response arrived.
    Answered,
    /// No byte of the request left this process.
    NotSent,
    /// The request may have been processed, but no whole response arrived.
    NoAnswer,
};

struct Request {
    Method method = Method::Get;
    /// Path and query.
    std::string path;
    /// JSON text; empty for none.
    std::string body;
    /// Header lines of the form `Name: value`.
    std::vector<std::string> headers;
    std::chrono::milliseconds timeout { 5000 };
    ConnectionUse use = ConnectionUse::OpenIfNeeded;
};

struct Response {
    Status status = Status::NotSent;
    /// HTTP status code; 0 unless answered.
    int code = 0;
    std::string body;
    /// What went wrong, for logs.
    std::string error;

    bool isAnswered() const { return status == Status::Answered; }
};

/// One TCP connection to an HTTP server. A request is never sent twice. Owns a libcurl handle and is used
/// by one thread at a time.
class Connection {
public:
    /// `address` has the form IP:PORT.
    explicit Connection(const std::string& address);
    ~Connection();
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    Response send(const Request& request);
    /// Closes the TCP connection; the next request with `OpenIfNeeded` opens a new one.
    void close();
    /// Ends a request that runs on another thread; it then returns `NoAnswer`. Any thread may call it.
    void abort();

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

}
