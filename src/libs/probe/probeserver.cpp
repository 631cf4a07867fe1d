#include "probe/probeserver.h"

#include "metrics/registry.h"

#include <array>

#include <arpa/inet.h>
#include <microhttpd.h>
#include <ulfius.h>

namespace Probe {

namespace {

    constexpr unsigned statusReady = 200;
    constexpr unsigned statusNotReady = 503;
    constexpr std::intptr_t connectionLimit = 32;
    constexpr std::intptr_t idleTimeoutSeconds = 30;
    /// No request to the probe needs a body; the HTTP library would collect any in memory.
    constexpr std::size_t maxBodyBytes = 1024;

}

struct ProbeServer::Private {
    ProbeServer& owner;
    sockaddr_in address {};
    _u_instance instance {};
    bool isStarted = false;

    static int onProbe(const _u_request* /*request*/, _u_response* response, void* self)
    {
        const bool isReady = static_cast<Private*>(self)->owner.m_isReady;
        ulfius_set_empty_body_response(response, isReady ? statusReady : statusNotReady);
        return U_CALLBACK_COMPLETE;
    }

    static int onMetrics(const _u_request* /*request*/, _u_response* response, void* self)
    {
        const std::string text = static_cast<Private*>(self)->owner.m_metrics.text();
        ulfius_set_binary_body_response(response, statusReady, text.data(), text.size());
        u_map_put(response->map_header, "Content-Type", "text/plain; version=0.0.4");
        return U_CALLBACK_COMPLETE;
    }
};

ProbeServer::ProbeServer(ProbeSettings settings, const Metrics::Registry& metrics)
    : m_settings(std::move(settings))
    , m_metrics(metrics)
    , m_d(std::make_unique<Private>(Private { *this }))
{
}

ProbeServer::~ProbeServer()
{
    if (!m_d->isStarted)
        return;
    ulfius_stop_framework(&m_d->instance);
    ulfius_clean_instance(&m_d->instance);
}

std::optional<std::string> ProbeServer::start()
{
    m_d->address.sin_family = AF_INET;
    m_d->address.sin_port = htons(m_settings.port);
    inet_pton(AF_INET, m_settings.ip.c_str(), &m_d->address.sin_addr);
    if (ulfius_init_instance(&m_d->instance, m_settings.port, &m_d->address, nullptr) != U_OK)
        return "cannot initialize the HTTP server of the readiness probe";
    m_d->instance.max_post_body_size = maxBodyBytes;
    m_d->instance.max_post_param_size = maxBodyBytes;
    m_d->instance.allowed_post_processor = U_POST_PROCESS_NONE;
    ulfius_add_endpoint_by_val(
        &m_d->instance, "GET", nullptr, m_settings.path.c_str(), 0, &Private::onProbe, m_d.get());
    ulfius_add_endpoint_by_val(&m_d->instance, "GET", nullptr, "/metrics", 0, &Private::onMetrics, m_d.get());
    std::array<MHD_OptionItem, 6> options { {
        { MHD_OPTION_NOTIFY_COMPLETED, reinterpret_cast<std::intptr_t>(&mhd_request_completed), nullptr },
        { MHD_OPTION_URI_LOG_CALLBACK, reinterpret_cast<std::intptr_t>(&ulfius_uri_logger), nullptr },
        { MHD_OPTION_SOCK_ADDR, 0, &m_d->address },
        { MHD_OPTION_CONNECTION_LIMIT, connectionLimit, nullptr },
        { MHD_OPTION_CONNECTION_TIMEOUT, idleTimeoutSeconds, nullptr },
        { MHD_OPTION_END, 0, nullptr },
    } };
    const unsigned flags = MHD_USE_EPOLL_INTERNAL_THREAD | MHD_USE_ITC;
    if (ulfius_start_framework_with_mhd_options(&m_d->instance, flags, options.data()) != U_OK) {
        ulfius_clean_instance(&m_d->instance);
        return "cannot listen on " + m_settings.ip + ":" + std::to_string(m_settings.port);
    }
    m_d->isStarted = true;
    return std::nullopt;
}

}
