#include "sessionproxy.h"

#include "eventloop/loop.h"
#include "logging/log.h"
#include "platform/platformcalls.h"
#include "platform/storewatcher.h"
#include "platform/wirecodec.h"
#include "proxyhost/proxyhost.h"

#include <csignal>
#include <cstdlib>
#include <iostream>

#include <malloc.h>

namespace {

/// Reads the settings file again and applies the settings that can change while the process runs. Invalid
/// settings are logged and ignored as a whole.
void reload(const std::string& path, ProxyHost::ProxyHost& host)
{
    const auto settings = Settings::loadProxySettings(path);
    if (!settings) {
        Logging::write(Logging::EventId::SettingsInvalid, { { "reason", settings.error().message } });
        return;
    }
    host.changeSettings(*settings);
}

/// Makes the allocator return large blocks to the system. By default it keeps up to 64 MiB of the blocks that
/// it has seen freed, which a small machine lacks.
void returnFreedMemory()
{
    constexpr int mappedBlockBytes = 256 * 1024;
    constexpr int keptBytes = 1024 * 1024;
    mallopt(M_MMAP_THRESHOLD, mappedBlockBytes);
    mallopt(M_TRIM_THRESHOLD, keptBytes);
}

}

ExitCode runSessionProxy(const std::string& settingsFile, const Settings::ProxySettings& settings)
{
    std::signal(SIGPIPE, SIG_IGN);
    returnFreedMemory();
    Logging::configure({ {}, settings.host, settings.traceSampleRate });
    EventLoop::Loop loop;
    const auto storeEpoch = std::make_shared<Adapter::StoreEpoch>();
    ProxyHost::ProxyHost host(loop, settings, Adapter::wireCodec(), [&settings, storeEpoch] {
        return Adapter::platformCalls(settings.store.text(), settings.promoter.text(), storeEpoch);
    });
    loop.onSignal(SIGTERM, [&host] { host.shutDown(); });
    loop.onSignal(SIGINT, [&host] { host.shutDown(); });
    loop.onSignal(SIGHUP, [&host, &settingsFile] { reload(settingsFile, host); });
    if (const auto error = host.start()) {
        Logging::write(Logging::EventId::ListenFailed, { { "reason", *error } });
        return ExitCode::ListenFailed;
    }
    Logging::write(Logging::EventId::ProcessStarted, { { "callers", settings.callers.text() } });
    Adapter::StoreWatcher watcher(settings.store.text(), storeEpoch, host.storeEvents(),
        [&loop](std::function<void()> task) { loop.post(std::move(task)); });
    host.setStoreControl(
        { [&watcher](ProxyHost::StoreTable table, Model::Time now) { return watcher.reread(table, now); },
            [&watcher](bool hasPeerNotifications) { watcher.setPeerNotifications(hasPeerNotifications); },
            [&watcher](Directory::FleetPlace place) { watcher.setFleetPlace(place); } });
    loop.run();
    Logging::write(Logging::EventId::ProcessStopped);
    std::cout.flush();
    // Joining the threads that long-poll the store would delay the exit by seconds. They hold no state that
    // has to be saved.
    std::_Exit(static_cast<int>(ExitCode::Done));
}
