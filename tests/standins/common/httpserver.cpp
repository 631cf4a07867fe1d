#include "common/httpserver.h"

#include <atomic>
#include <memory>

#include <arpa/inet.h>
#include <microhttpd.h>

namespace Standins {

namespace {

    constexpr unsigned maxConnections = 4096;
    constexpr std::size_t connectionMemoryBytes = 65536;

    std::atomic<ConnectionId> s_nextConnection { 1 };

    void onConnection(
        void* context, MHD_Connection*, void** connectionContext, MHD_ConnectionNotificationCode code)
    {
        if (code == MHD_CONNECTION_NOTIFY_STARTED) {
            *connectionContext = new ConnectionId(s_nextConnection++);
            return;
        }
        const std::unique_ptr<ConnectionId> id(static_cast<ConnectionId*>(*connectionContext));
        const auto* hooks = static_cast<const HttpHooks*>(context);
        if (id && hooks->closed)
            hooks->closed(*id);
    }

    void onCompleted(void*, MHD_Connection*, void** requestContext, MHD_RequestTerminationCode)
    {
        delete static_cast<HttpRequest*>(*requestContext);
        *requestContext = nullptr;
    }

    MHD_Result addQuery(void* context, MHD_ValueKind, const char* name, const char* value)
    {
        static_cast<HttpRequest*>(context)->query[name] = value ? value : "";
        return MHD_YES;
    }

    MHD_Result addHeader(void* context, MHD_ValueKind, const char* name, const char* value)
    {
        auto& headers = static_cast<HttpRequest*>(context)->headers;
        headers.append(name).append(": ").append(value ? value : "").append("\n");
        return MHD_YES;
    }

    HttpResponse runHandler(const HttpHooks& hooks, const HttpRequest& request)
    {
        try {
            return hooks.handle(request);
        } catch (const Json::exception& error) {
            return jsonResponse(400, { { "error", "invalid_request" }, { "message", error.what() } });
        }
    }

    MHD_Result onRequest(void* context, MHD_Connection* connection, const char* url, const char* method,
        const char*, const char* uploadData, std::size_t* uploadSize, void** requestContext)
    {
        auto* request = static_cast<HttpRequest*>(*requestContext);
        if (!request) {
            request = new HttpRequest;
            *requestContext = request;
            request->method = method;
            request->path = url;
            const MHD_ConnectionInfo* info
                = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
            request->connection = *static_cast<ConnectionId*>(info->socket_context);
            MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, addQuery, request);
            MHD_get_connection_values(connection, MHD_HEADER_KIND, addHeader, request);
            return MHD_YES;
        }
        if (*uploadSize > 0) {
            request->body.append(uploadData, *uploadSize);
            *uploadSize = 0;
            return MHD_YES;
        }
        const HttpResponse answer = runHandler(*static_cast<const HttpHooks*>(context), *request);
        if (answer.isLost)
            return MHD_NO;
        MHD_Response* response = MHD_create_response_from_buffer(
            answer.body.size(), const_cast<char*>(answer.body.data()), MHD_RESPMEM_MUST_COPY);
        for (const auto& [name, value] : answer.headers)
            MHD_add_response_header(response, name.c_str(), value.c_str());
        if (answer.closesConnection)
            MHD_add_response_header(response, "Connection", "close");
        const MHD_Result result
            = MHD_queue_response(connection, static_cast<unsigned>(answer.status), response);
        MHD_destroy_response(response);
        return result;
    }

}

std::uint64_t HttpRequest::number(const std::string& name) const
{
    const auto found = query.find(name);
    return found == query.end() ? 0 : std::strtoull(found->second.c_str(), nullptr, 10);
}

HttpResponse jsonResponse(int status, const Json& body) { return { status, body.dump() }; }

HttpResponse lostResponse()
{
    HttpResponse response;
    response.isLost = true;
    return response;
}

HttpServer::HttpServer(const std::string& ip, std::uint16_t port, HttpHooks hooks)
    : m_hooks(std::move(hooks))
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    m_daemon
        = MHD_start_daemon(MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_THREAD_PER_CONNECTION | MHD_USE_POLL,
            port, nullptr, nullptr, onRequest, &m_hooks, MHD_OPTION_SOCK_ADDR, &address,
            MHD_OPTION_NOTIFY_CONNECTION, onConnection, &m_hooks, MHD_OPTION_NOTIFY_COMPLETED, onCompleted,
            nullptr, MHD_OPTION_CONNECTION_LIMIT, maxConnections, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
            connectionMemoryBytes, MHD_OPTION_END);
}

HttpServer::~HttpServer()
{
    if (m_daemon)
        MHD_stop_daemon(m_daemon);
}

std::uint16_t HttpServer::port() const
{
    return MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
}

}
