#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include <nlohmann/json.hpp>

struct MHD_Daemon;

namespace Standins {

using Json = nlohmann::json;

/// Identifies one TCP connection of a server; never reused.
using ConnectionId = std::uint64_t;

struct HttpRequest {
    ConnectionId connection = 0;
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    /// All headers as `Name: value` lines.
    std::string headers;
    std::string body;

    /// The value of a query parameter as a number; 0 if it is absent or malformed.
    std::uint64_t number(const std::string& name) const;
};

struct HttpResponse {
    int status = 200;
    std::string body = {};
    /// Closes the connection after the answer.
    bool closesConnection = false;
    /// Closes the connection instead of answering.
    bool isLost = false;
};

HttpResponse jsonResponse(int status, const Json& body);
/// An answer that never reaches the caller.
HttpResponse lostResponse();

/// What a server calls. Both hooks run on the thread of the connection.
struct HttpHooks {
    std::function<HttpResponse(const HttpRequest&)> handle;
    std::function<void(ConnectionId)> closed;
};

/// An HTTP/1.1 server with one thread per connection, so that a handler may block.
class HttpServer {
public:
    /// Port 0 lets the system choose.
    HttpServer(const std::string& ip, std::uint16_t port, HttpHooks hooks);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    bool isListening() const { return m_daemon != nullptr; }
    std::uint16_t port() const;

private:
    HttpHooks m_hooks;
    MHD_Daemon* m_daemon = nullptr;
};

}
