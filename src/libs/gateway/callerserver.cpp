#include "gateway/callerserver.h"

#include <array>
#include <cstring>
#include <sstream>

#include <arpa/inet.h>
#include <linux/filter.h>
#include <microhttpd.h>
#include <poll.h>
#include <sys/socket.h>
#include <ulfius.h>
#include <unistd.h>

namespace Gateway {

using Model::ErrorCode;
using Model::makeError;

namespace {

    constexpr std::size_t maxHeaderBytes = 16UL * 1024;
    // The HTTP library sends a response of its own to larger headers, so this is well above `maxHeaderBytes`.
    constexpr std::size_t connectionMemoryBytes = 40UL * 1024;
    constexpr std::size_t largestBodyBytes = 16UL * 1024 * 1024;
    constexpr unsigned idleTimeoutSeconds = 120;
    /// Exceeds the round-trip time between a caller and a host, so that TCP handshakes in progress complete.
    constexpr std::chrono::milliseconds handshakeGracePeriod(200);
    constexpr int handshakePollMs = 10;

    /// Attaches a packet filter that drops SYN segments, so that no new TCP handshake begins. Segments of
    /// handshakes in progress pass.
    void dropNewConnectionAttempts(MHD_socket listener)
    {
        constexpr std::uint32_t flagsOffset = 13;
        constexpr std::uint32_t synFlag = 0x02;
        constexpr std::uint32_t passAll = 0xffffffff;
        std::array<sock_filter, 4> program { {
            BPF_STMT(BPF_LD | BPF_B | BPF_ABS, flagsOffset),
            BPF_JUMP(BPF_JMP | BPF_JSET | BPF_K, synFlag, 0, 1),
            BPF_STMT(BPF_RET | BPF_K, 0),
            BPF_STMT(BPF_RET | BPF_K, passAll),
        } };
        const sock_fprog filter { static_cast<unsigned short>(program.size()), program.data() };
        // If this fails, a connection that begins during the shutdown may be reset; nothing else depends on
        // the filter.
        static_cast<void>(::setsockopt(listener, SOL_SOCKET, SO_ATTACH_FILTER, &filter, sizeof filter));
    }

    std::vector<std::string> splitPath(std::string_view path)
    {
        std::vector<std::string> parts;
        std::istringstream stream { std::string(path) };
        for (std::string part; std::getline(stream, part, '/');)
            parts.push_back(part);
        // The path starts with "/v1/", so the first two parts are empty and "v1".
        parts.erase(parts.begin(), parts.begin() + std::min<std::ptrdiff_t>(2, std::ssize(parts)));
        return parts;
    }

    std::size_t headerBytes(const _u_request& request)
    {
        std::size_t size = 0;
        const char** names = u_map_enum_keys(request.map_header);
        for (int i = 0; names && names[i]; ++i)
            size += std::strlen(names[i]) + std::strlen(u_map_get_case(request.map_header, names[i]));
        return size;
    }

}

struct CallerServer::Private {
    CallerServerSettings settings;
    CallerHooks hooks;
    sockaddr_in address {};
    _u_instance instance {};
    bool isStarted = false;
    std::atomic<bool> isDraining = false;
    std::atomic<int> runningCount = 0;

    static int onRequest(const _u_request* request, _u_response* response, void* self)
    {
        static_cast<Private*>(self)->handle(*request, *response);
        return U_CALLBACK_COMPLETE;
    }

    Model::Result<CallerRequest> parse(const _u_request& request) const
    {
        if (headerBytes(request) > maxHeaderBytes)
            return makeError(ErrorCode::HeadersTooLarge);
        if (request.binary_body_length > hooks.maxBodyBytes())
            return makeError(ErrorCode::BodyTooLarge);
        HttpInput input;
        input.path = splitPath(request.url_path);
        input.header = [&request](std::string_view name) {
            const char* value = u_map_get_case(request.map_header, std::string(name).c_str());
            return std::string(value ? value : "");
        };
        input.body.assign(static_cast<const char*>(request.binary_body), request.binary_body_length);
        return parseCallerRequest(input);
    }

    // A request counts as running from its request line until its response has been sent. If it counted only
    // while the handler runs, a shutdown could truncate responses that are still being sent.
    static void* onRequestLine(void* self, const char* uri)
    {
        ++static_cast<Private*>(self)->runningCount;
        return ulfius_uri_logger(nullptr, uri);
    }

    static void onCompleted(
        void* self, MHD_Connection* connection, void** context, MHD_RequestTerminationCode reason)
    {
        mhd_request_completed(nullptr, connection, context, reason);
        --static_cast<Private*>(self)->runningCount;
    }

    void acceptConnection(MHD_socket listener)
    {
        sockaddr_in peer {};
        socklen_t size = sizeof peer;
        const int connection = ::accept4(listener, reinterpret_cast<sockaddr*>(&peer), &size, SOCK_CLOEXEC);
        // The HTTP library closes a connection that it does not accept.
        if (connection >= 0)
            MHD_add_connection(instance.mhd_daemon, connection, reinterpret_cast<sockaddr*>(&peer), size);
    }

    void handle(const _u_request& request, _u_response& response)
    {
        const auto parsed = parse(request);
        const CallerResponse callerResponse
            = parsed ? hooks.serve(*parsed) : CallerResponse { parsed.error(), {}, {}, {} };
        const std::string body = formatResponse(callerResponse);
        ulfius_set_binary_body_response(&response,
            callerResponse.error ? callerResponse.error->info().httpStatus : 200, body.data(), body.size());
        u_map_put(response.map_header, "Content-Type", "application/json");
        if (!callerResponse.sessionToken.empty())
            u_map_put(response.map_header, "Parsleytack-Session", callerResponse.sessionToken.c_str());
        if (isDraining)
            u_map_put(response.map_header, "Connection", "close");
    }
};

CallerServer::CallerServer(CallerServerSettings settings, CallerHooks hooks)
    : m_d(std::make_unique<Private>())
{
    m_d->settings = std::move(settings);
    m_d->hooks = std::move(hooks);
}

CallerServer::~CallerServer() { stop(); }

std::optional<std::string> CallerServer::start()
{
    m_d->address.sin_family = AF_INET;
    m_d->address.sin_port = htons(m_d->settings.port);
    inet_pton(AF_INET, m_d->settings.ip.c_str(), &m_d->address.sin_addr);
    if (ulfius_init_instance(&m_d->instance, m_d->settings.port, &m_d->address, nullptr) != U_OK)
        return "the HTTP library cannot be initialized";
    // The HTTP library truncates larger bodies. One byte more than the largest limit distinguishes a body
    // that exceeds it from one of exactly that size.
    m_d->instance.max_post_body_size = largestBodyBytes + 1;
    m_d->instance.allowed_post_processor = U_POST_PROCESS_NONE;
    m_d->instance.check_utf8 = 0;
    ulfius_add_endpoint_by_val(&m_d->instance, "POST", "/v1", "/*", 0, &Private::onRequest, m_d.get());
    std::array<MHD_OptionItem, 8> options { {
        { MHD_OPTION_NOTIFY_COMPLETED, reinterpret_cast<std::intptr_t>(&Private::onCompleted), m_d.get() },
        { MHD_OPTION_URI_LOG_CALLBACK, reinterpret_cast<std::intptr_t>(&Private::onRequestLine), m_d.get() },
        { MHD_OPTION_SOCK_ADDR, 0, &m_d->address },
        { MHD_OPTION_CONNECTION_LIMIT, m_d->settings.maxConnections, nullptr },
        { MHD_OPTION_CONNECTION_MEMORY_LIMIT, static_cast<std::intptr_t>(connectionMemoryBytes), nullptr },
        { MHD_OPTION_THREAD_STACK_SIZE, static_cast<std::intptr_t>(m_d->settings.stackBytes), nullptr },
        { MHD_OPTION_CONNECTION_TIMEOUT, idleTimeoutSeconds, nullptr },
        { MHD_OPTION_END, 0, nullptr },
    } };
    // With select(), which is the default, descriptors above 1,023 cannot be served.
    const unsigned flags
        = MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL | MHD_USE_ITC;
    if (ulfius_start_framework_with_mhd_options(&m_d->instance, flags, options.data()) != U_OK) {
        ulfius_clean_instance(&m_d->instance);
        return "cannot listen on " + m_d->settings.ip + ":" + std::to_string(m_d->settings.port);
    }
    m_d->isStarted = true;
    return std::nullopt;
}

void CallerServer::beginDrain() { m_d->isDraining = true; }

int CallerServer::runningRequests() const { return m_d->runningCount; }

void CallerServer::stopAccepting()
{
    const MHD_socket listener = MHD_quiesce_daemon(m_d->instance.mhd_daemon);
    if (listener == MHD_INVALID_SOCKET)
        return;
    // Closing the listener resets the connections in its backlog, which may already hold requests. So new
    // handshakes are blocked, those in progress get time to complete, and the connections in the backlog are
    // accepted before the listener is closed.
    dropNewConnectionAttempts(listener);
    const auto end = std::chrono::steady_clock::now() + handshakeGracePeriod;
    pollfd item { listener, POLLIN, 0 };
    while (std::chrono::steady_clock::now() < end || ::poll(&item, 1, 0) > 0) {
        if (::poll(&item, 1, handshakePollMs) > 0)
            m_d->acceptConnection(listener);
    }
    ::close(listener);
}

int CallerServer::openConnections() const
{
    const MHD_DaemonInfo* info
        = MHD_get_daemon_info(m_d->instance.mhd_daemon, MHD_DAEMON_INFO_CURRENT_CONNECTIONS);
    return info ? static_cast<int>(info->num_connections) : 0;
}

void CallerServer::stop()
{
    if (!m_d->isStarted)
        return;
    m_d->isStarted = false;
    ulfius_stop_framework(&m_d->instance);
    ulfius_clean_instance(&m_d->instance);
}

}
