#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
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
    /// A complete response was received, with any HTTP status code.
    Answered,
    /// No byte of the request was sent; the server has not processed it.
    NotSent,
    /// Unknown outcome: the request was sent at least in part, but no complete response was received.
    NoAnswer,
};

struct Request {
    Method method = Method::Get;
    /// Path and query string, starting with a slash.
    std::string path;
    /// JSON text; not sent with `Method::Get`.
    std::string body;
    /// Header lines of the form `Name: value`.
    std::vector<std::string> headers;
    /// Name of the response header whose value is returned; none if it is empty.
    std::string responseHeader;
    /// Limit for the whole exchange, including the connection set-up. With `stallTimeout`, only for the time
    /// until the response begins.
    std::chrono::milliseconds timeout { 5000 };
    /// Limit for the time between two parts of the response. With it, a long response may take as long as its
    /// length requires.
    std::optional<std::chrono::milliseconds> stallTimeout;
    ConnectionUse use = ConnectionUse::OpenIfNeeded;
};

struct Response {
    Status status = Status::NotSent;
    /// HTTP status code; 0 if no complete response was received.
    int code = 0;
    std::string body;
    /// Value of the header named in the request; empty if there is none.
    std::string header;
    /// Error message for logs; empty with `Status::Answered`.
    std::string error;

    bool isAnswered() const { return status == Status::Answered; }
};

/// Returns the text for use as a value in a query string.
std::string escaped(const std::string& text);

/// One persistent TCP connection to an HTTP server. It never sends a request twice, since a repeated
/// statement could run twice. Used by one thread at a time, except for `abort`.
class Connection {
public:
    /// `address` has the form IP:PORT.
    explicit Connection(const std::string& address);
    ~Connection();
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    /// Sends a request and blocks until it is answered, fails or times out. Closes the connection unless a
    /// complete response was received.
    Response send(const Request& request);
    /// Closes the TCP connection; the next request with `OpenIfNeeded` opens a new one.
    void close();
    /// Bytes of the response to the present or last request that have arrived, headers included. Any thread
    /// may call it.
    std::uint64_t receivedBytes() const;
    /// Shuts down the open socket, so that a request that runs on another thread fails at once; it returns
    /// `NoAnswer` if part of it was sent. Any thread may call it.
    void abort();

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

}
