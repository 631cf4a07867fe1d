#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include <nlohmann/json.hpp>

struct MHD_Daemon;

namespace Standins {

using Json = nlohmann::json;

/// Identifies a TCP connection accepted by a server of this process. Ids are never reused.
using ConnectionId = std::uint64_t;

struct HttpRequest {
    ConnectionId connection = 0;
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    /// All headers as `Name: value` lines.
    std::string headers;
    std::string body;

    /// Returns the value of a query parameter as a decimal number; 0 if it is absent or malformed.
    std::uint64_t number(const std::string& name) const;
};

struct HttpResponse {
    int status = 200;
    std::string body = {};
    std::map<std::string, std::string> headers = {};
    /// Closes the connection after the response was sent.
    bool closesConnection = false;
    /// Closes the connection without sending a response.
    bool isLost = false;
};

HttpResponse jsonResponse(int status, const Json& body);
/// A response that is not sent: the server closes the connection instead, as if the response was lost.
HttpResponse lostResponse();

/// Callbacks of a server. Both run on the thread of the connection.
struct HttpHooks {
    /// Processes a request. A thrown `Json::exception` is answered with status 400.
    std::function<HttpResponse(const HttpRequest&)> handle;
    /// Reports that the connection was closed; may be null.
    std::function<void(ConnectionId)> closed;
};

/// An HTTP/1.1 server with one thread for each connection, so that a handler may block.
class HttpServer {
public:
    /// Starts to listen; port 0 lets the system choose a port. On failure, `isListening()` is false.
    HttpServer(const std::string& ip, std::uint16_t port, HttpHooks hooks);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    bool isListening() const { return m_daemon != nullptr; }
    /// The bound port. Requires that the server listens.
    std::uint16_t port() const;

private:
    HttpHooks m_hooks;
    MHD_Daemon* m_daemon = nullptr;
};

}
