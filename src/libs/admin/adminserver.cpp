#include "admin/adminserver.h"

#include <array>

#include <arpa/inet.h>
#include <microhttpd.h>
#include <ulfius.h>

namespace Admin {

namespace {

    constexpr std::intptr_t idleTimeoutSeconds = 30;
    // The HTTP library rejects port 0, but listens on the port of the socket address and ignores this one.
    constexpr unsigned placeholderPort = 1;

    std::string valueOf(const _u_map* map, const std::string& name)
    {
        const char* value = u_map_get_case(map, name.c_str());
        return value ? value : "";
    }

}

struct AdminServer::Private {
    AdminServerSettings settings;
    AdminRouter router;
    sockaddr_in address {};
    _u_instance instance {};
    bool isStarted = false;

    Private(AdminServerSettings serverSettings, AdminHooks hooks)
        : settings(std::move(serverSettings))
        , router(settings.operatorSecret, settings.maxBodyBytes, std::move(hooks))
    {
    }

    static int onRequest(const _u_request* request, _u_response* response, void* self)
    {
        static_cast<Private*>(self)->handle(*request, *response);
        return U_CALLBACK_COMPLETE;
    }

    void handle(const _u_request& request, _u_response& response) const
    {
        AdminRequest input { request.http_verb, request.url_path, {}, {}, {} };
        input.parameter = [&request](const std::string& name) { return valueOf(request.map_url, name); };
        input.authorization = valueOf(request.map_header, "Authorization");
        if (request.binary_body_length > 0)
            input.body.assign(static_cast<const char*>(request.binary_body), request.binary_body_length);
        const AdminResponse adminResponse = router.serve(input);
        ulfius_set_binary_body_response(&response, static_cast<unsigned>(adminResponse.status),
            adminResponse.body.data(), adminResponse.body.size());
        u_map_put(response.map_header, "Content-Type", adminResponse.contentType.c_str());
    }
};

AdminServer::AdminServer(AdminServerSettings settings, AdminHooks hooks)
    : m_private(std::make_unique<Private>(std::move(settings), std::move(hooks)))
{
}

AdminServer::~AdminServer() { stop(); }

std::optional<std::string> AdminServer::start()
{
    m_private->address.sin_family = AF_INET;
    m_private->address.sin_port = htons(m_private->settings.port);
    inet_pton(AF_INET, m_private->settings.ip.c_str(), &m_private->address.sin_addr);
    const unsigned port = m_private->settings.port == 0 ? placeholderPort : m_private->settings.port;
    if (ulfius_init_instance(&m_private->instance, port, &m_private->address, nullptr) != U_OK)
        return "the HTTP library cannot be initialized";
    // The HTTP library truncates larger bodies. One byte more than our limit distinguishes a body that
    // exceeds it from one of exactly that size.
    m_private->instance.max_post_body_size = m_private->settings.maxBodyBytes + 1;
    m_private->instance.allowed_post_processor = U_POST_PROCESS_NONE;
    m_private->instance.check_utf8 = 0;
    ulfius_set_default_endpoint(&m_private->instance, &Private::onRequest, m_private.get());
    std::array<MHD_OptionItem, 6> options { {
        { MHD_OPTION_NOTIFY_COMPLETED, reinterpret_cast<std::intptr_t>(&mhd_request_completed), nullptr },
        { MHD_OPTION_URI_LOG_CALLBACK, reinterpret_cast<std::intptr_t>(&ulfius_uri_logger), nullptr },
        { MHD_OPTION_SOCK_ADDR, 0, &m_private->address },
        { MHD_OPTION_CONNECTION_LIMIT, m_private->settings.maxConnections, nullptr },
        { MHD_OPTION_CONNECTION_TIMEOUT, idleTimeoutSeconds, nullptr },
        { MHD_OPTION_END, 0, nullptr },
    } };
    const unsigned flags = MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_ITC;
    if (ulfius_start_framework_with_mhd_options(&m_private->instance, flags, options.data()) != U_OK) {
        ulfius_clean_instance(&m_private->instance);
        return "cannot listen on " + m_private->settings.ip + ":" + std::to_string(m_private->settings.port);
    }
    m_private->isStarted = true;
    return std::nullopt;
}

std::uint16_t AdminServer::port() const
{
    if (!m_private->isStarted)
        return 0;
    const MHD_DaemonInfo* info
        = MHD_get_daemon_info(m_private->instance.mhd_daemon, MHD_DAEMON_INFO_LISTEN_FD);
    sockaddr_in bound {};
    socklen_t size = sizeof bound;
    if (!info || getsockname(info->listen_fd, reinterpret_cast<sockaddr*>(&bound), &size) != 0)
        return 0;
    return ntohs(bound.sin_port);
}

void AdminServer::stop()
{
    if (!m_private->isStarted)
        return;
    m_private->isStarted = false;
    ulfius_stop_framework(&m_private->instance);
    ulfius_clean_instance(&m_private->instance);
}

}
