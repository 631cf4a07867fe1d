#include "http/connection.h"

#include <algorithm>
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

    using Clock = std::chrono::steady_clock;
    using std::chrono::milliseconds;

    /// Limits the time until a response begins and the time between its parts.
    class StallTimer {
    public:
        StallTimer(const Request& request, Clock::time_point now)
            : m_startTimeout(request.timeout)
            , m_stallTimeout(request.stallTimeout)
            , m_progressAt(now)
        {
        }

        /// Returns how long to wait for more, after `received` bytes have arrived; 0 if the time is over.
        milliseconds remaining(std::uint64_t received, Clock::time_point now)
        {
            constexpr milliseconds maxWait { 1000 };
            if (!m_stallTimeout)
                return maxWait;
            if (received != m_received)
                m_progressAt = now;
            m_received = received;
            const milliseconds limit = received == 0 ? m_startTimeout : *m_stallTimeout;
            const auto left = std::chrono::ceil<milliseconds>(m_progressAt + limit - now);
            return std::clamp(left, milliseconds::zero(), maxWait);
        }

    private:
        milliseconds m_startTimeout;
        std::optional<milliseconds> m_stallTimeout;
        Clock::time_point m_progressAt;
        std::uint64_t m_received = 0;
    };

    void initializeCurlOnce()
    {
        static std::once_flag flag;
        std::call_once(flag, [] { curl_global_init(CURL_GLOBAL_NOTHING); });
    }

}

struct Connection::Private {
    std::string baseUrl;
    CURL* handle = nullptr;
    /// Owns the TCP connection that `handle` uses.
    CURLM* multi = nullptr;
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
        multi = curl_multi_init();
        curl_multi_setopt(multi, CURLMOPT_MAXCONNECTS, 1L);
        handle = curl_easy_init();
        curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(handle, CURLOPT_TCP_NODELAY, 1L);
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

    void deleteHandle()
    {
        curl_easy_cleanup(handle);
        curl_multi_cleanup(multi);
    }

    /// Runs the request until it ends or its response stalls.
    CURLcode perform(const Request& request)
    {
        curl_multi_add_handle(multi, handle);
        StallTimer timer(request, Clock::now());
        std::optional<CURLcode> result;
        while (!result) {
            int running = 0;
            curl_multi_perform(multi, &running);
            const milliseconds remaining = timer.remaining(receivedBytes, Clock::now());
            if (running == 0)
                result = finishedResult();
            else if (remaining == milliseconds::zero())
                result = CURLE_OPERATION_TIMEDOUT;
            else
                curl_multi_poll(multi, nullptr, 0, static_cast<int>(remaining.count()), nullptr);
        }
        curl_multi_remove_handle(multi, handle);
        return *result;
    }

    CURLcode finishedResult()
    {
        int remaining = 0;
        const CURLMsg* message = curl_multi_info_read(multi, &remaining);
        return message ? message->data.result : CURLE_FAILED_INIT;
    }

    void setRequest(const Request& request)
    {
        curl_easy_setopt(handle, CURLOPT_URL, (baseUrl + request.path).c_str());
        constexpr long noLimit = 0;
        curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS,
            request.stallTimeout ? noLimit : static_cast<long>(request.timeout.count()));
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
    m_d->deleteHandle();
    curl_slist_free_all(m_d->headers);
}

Response Connection::send(const Request& request)
{
    Response response;
    m_d->setRequest(request);
    m_d->socketsAllowed = request.use == ConnectionUse::OpenIfNeeded ? 1 : 0;
    m_d->body.clear();
    m_d->receivedBytes = 0;
    const CURLcode result = m_d->perform(request);
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
    m_d->deleteHandle();
    m_d->createHandle();
}

}
