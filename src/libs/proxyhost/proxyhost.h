#pragma once

#include "core/directory/view.h"
#include "eventloop/loop.h"
#include "eventloop/timer.h"
#include "metrics/registry.h"
#include "probe/probeserver.h"
#include "proxyhost/storeevents.h"
#include "sessionserver/server.h"
#include "settings/proxysettings.h"

#include <optional>
#include <string>

namespace ProxyHost {

/// One running session proxy: wires callers, upstreams, the store's reports and the readiness probe
/// together. Used on the loop's thread.
class ProxyHost {
public:
    ProxyHost(EventLoop::Loop& loop, const Settings::ProxySettings& settings, SessionServer::Codec codec);

    /// Listens on all addresses. Returns what went wrong, if anything.
    std::optional<std::string> start();
    /// The hooks through which the store's reports arrive.
    StoreEvents storeEvents();
    /// Takes no new sessions, ends the open ones when they are idle, and then stops the loop.
    void shutDown();

private:
    void adopt(std::shared_ptr<const Directory::Configuration> configuration);
    void updateReadiness();
    void continueShutdown();

    EventLoop::Loop& m_loop;
    Settings::ProxySettings m_settings;
    Metrics::Registry m_metrics;
    Directory::View m_view;
    SessionServer::Server m_server;
    Probe::ProbeServer m_probe;
    EventLoop::Timer m_shutdownTimer;
    std::optional<Model::Time> m_shutdownAt;
    bool m_hasUpstreams = false;
};

}
