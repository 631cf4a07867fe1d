#include "http/connection.h"

#include <atomic>
#include <mutex>

#include <curl/curl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Http {

namespace {

    constexpr std::size_t maxBodyBytes = 16UL * 1024 * 1024;

    /// Detects an unresponsive connection within about 4 s, also if the time-out of the request is much
    /// longer.
    void enableKeepAlive(int socket)
    {
        constexpr int isOn = 1;
        constexpr int idleSeconds = 2;
        constexpr int intervalSeconds = 1;
        constexpr int probes = 2;
        constexpr unsigned userTimeoutMs = 4000;
        setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &isOn, sizeof isOn);
        setsockopt(socket, IPPROTO_TCP, TCP_KEEPIDLE, &idleSeconds, sizeof idleSeconds);
        setsockopt(socket, IPPROTO_TCP, TCP_KEEPINTVL, &intervalSeconds, sizeof intervalSeconds);
        setsockopt(socket, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
        setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &userTimeoutMs, sizeof userTimeoutMs);
    }

    void initializeCurlOnce()
    {
        static std::once_flag flag;
        std::call_once(flag, [] { curl_global_init(CURL_GLOBAL_NOTHING); });
    }

}

struct Connection::Private {
    std::string baseUrl;
    CURL* handle = nullptr;
    /// Number of sockets that the current request may still open.
    int socketsAllowed = 0;
    std::mutex socketMutex;
    /// The open socket, or -1. Guarded by `socketMutex`, so that `abort` cannot shut down a descriptor that
    /// was closed and reused in the meantime.
    int socket = -1;
    curl_slist* headers = nullptr;
    /// Body of the response to the current request.
    std::string body;
    std::atomic<std::uint64_t> receivedBytes = 0;

    /// Write callback of libcurl. A return value other than the size received makes libcurl fail the request.
    static std::size_t appendBody(char* data, std::size_t size, std::size_t count, void* self)
    {
        auto* d = static_cast<Private*>(self);
        const std::size_t bytes = size * count;
        if (d->body.size() + bytes > maxBodyBytes)
            return 0;
        d->body.append(data, bytes);
        d->receivedBytes += bytes;
        return bytes;
    }

    static std::size_t countHeader(char*, std::size_t size, std::size_t count, void* self)
    {
        static_cast<Private*>(self)->receivedBytes += size * count;
        return size * count;
    }

    // libcurl sends a request again on a new connection if the server has closed the reused one, even a POST
    // whose body was sent already. Refusing the second socket prevents that a statement runs twice.
    static curl_socket_t openSocket(void* self, curlsocktype, curl_sockaddr* address)
    {
        auto* d = static_cast<Private*>(self);
        if (d->socketsAllowed == 0)
            return CURL_SOCKET_BAD;
        --d->socketsAllowed;
        const std::lock_guard lock(d->socketMutex);
        d->socket = ::socket(address->family, address->socktype | SOCK_CLOEXEC, address->protocol);
        if (d->socket >= 0)
            enableKeepAlive(d->socket);
        return d->socket;
    }

    static int closeSocket(void* self, curl_socket_t socket)
    {
        auto* d = static_cast<Private*>(self);
        const std::lock_guard lock(d->socketMutex);
        if (d->socket == socket)
            d->socket = -1;
        return ::close(socket);
    }

    void createHandle()
    {
        handle = curl_easy_init();
        curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(handle, CURLOPT_TCP_NODELAY, 1L);
        curl_easy_setopt(handle, CURLOPT_MAXCONNECTS, 1L);
        curl_easy_setopt(handle, CURLOPT_PROXY, "");
        curl_easy_setopt(handle, CURLOPT_PROTOCOLS_STR, "http");
        curl_easy_setopt(handle, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
        curl_easy_setopt(handle, CURLOPT_OPENSOCKETFUNCTION, &Private::openSocket);
        curl_easy_setopt(handle, CURLOPT_OPENSOCKETDATA, this);
        curl_easy_setopt(handle, CURLOPT_CLOSESOCKETFUNCTION, &Private::closeSocket);
        curl_easy_setopt(handle, CURLOPT_CLOSESOCKETDATA, this);
        curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &Private::appendBody);
        curl_easy_setopt(handle, CURLOPT_WRITEDATA, this);
        curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, &Private::countHeader);
        curl_easy_setopt(handle, CURLOPT_HEADERDATA, this);
    }

    void setRequest(const Request& request)
    {
        curl_easy_setopt(handle, CURLOPT_URL, (baseUrl + request.path).c_str());
        curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(request.timeout.count()));
        curl_slist_free_all(headers);
        // Suppresses "Expect: 100-continue", which costs a round trip for large bodies.
        headers = curl_slist_append(nullptr, "Expect:");
        headers = curl_slist_append(headers, "Content-Type: application/json");
        for (const std::string& line : request.headers)
            headers = curl_slist_append(headers, line.c_str());
        curl_easy_setopt(handle, CURLOPT_HTTPHEADER, headers);
        curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, request.method == Method::Put ? "PUT" : nullptr);
        if (request.method == Method::Get) {
            curl_easy_setopt(handle, CURLOPT_HTTPGET, 1L);
            return;
        }
        curl_easy_setopt(handle, CURLOPT_POST, 1L);
        curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE, static_cast<long>(request.body.size()));
        curl_easy_setopt(handle, CURLOPT_POSTFIELDS, request.body.c_str());
    }

    /// Value of a header of the last response; empty if there is none.
    std::string responseHeader(const std::string& name) const
    {
        constexpr int lastRequest = -1;
        curl_header* header = nullptr;
        if (curl_easy_header(handle, name.c_str(), 0, CURLH_HEADER, lastRequest, &header) != CURLHE_OK)
            return {};
        return header->value;
    }
};

std::string escaped(const std::string& text)
{
    char* const encoded = curl_easy_escape(nullptr, text.data(), static_cast<int>(text.size()));
    std::string result = encoded ? encoded : "";
    curl_free(encoded);
    return result;
}

Connection::Connection(const std::string& address)
    : m_d(std::make_unique<Private>())
{
    initializeCurlOnce();
    m_d->baseUrl = "http://" + address;
    m_d->createHandle();
}

Connection::~Connection()
{
    curl_easy_cleanup(m_d->handle);
    curl_slist_free_all(m_d->headers);
}

Response Connection::send(const Request& request)
{
    Response response;
    m_d->setRequest(request);
    m_d->socketsAllowed = request.use == ConnectionUse::OpenIfNeeded ? 1 : 0;
    m_d->body.clear();
    m_d->receivedBytes = 0;
    const CURLcode result = curl_easy_perform(m_d->handle);
    if (result == CURLE_OK) {
        long code = 0;
        curl_easy_getinfo(m_d->handle, CURLINFO_RESPONSE_CODE, &code);
        response.status = Status::Answered;
        response.code = static_cast<int>(code);
        response.body = std::move(m_d->body);
        if (!request.responseHeader.empty())
            response.header = m_d->responseHeader(request.responseHeader);
        return response;
    }
    long requestSize = 0;
    curl_easy_getinfo(m_d->handle, CURLINFO_REQUEST_SIZE, &requestSize);
    response.status = requestSize == 0 ? Status::NotSent : Status::NoAnswer;
    response.error = curl_easy_strerror(result);
    // Otherwise a late response on this connection could be taken for the response to the next request.
    close();
    return response;
}

std::uint64_t Connection::receivedBytes() const { return m_d->receivedBytes; }

void Connection::abort()
{
    const std::lock_guard lock(m_d->socketMutex);
    if (m_d->socket >= 0)
        ::shutdown(m_d->socket, SHUT_RDWR);
}

void Connection::close()
{
    curl_easy_cleanup(m_d->handle);
    m_d->createHandle();
}

}
