#pragma once

#include "settings/hostsettings.h"

#include <memory>
#include <optional>
#include <string>

namespace Daemon {

/// One running host: wires the caller and operator interfaces, the peers, the store and the groups together.
/// `start`, `drain` and `stop` are called on one thread.
class Host {
public:
    explicit Host(const Settings::HostSettings& settings);
    ~Host();
    Host(const Host&) = delete;
    Host& operator=(const Host&) = delete;

    /// Listens on all addresses. Returns what went wrong, if anything.
    std::optional<std::string> start();
    /// Takes no new work and waits for the running requests and transactions. Returns false if some were
    /// still running after the drain time-out.
    bool drain();
    void stop();
    /// A newer process of the same host name was seen.
    bool isSuperseded() const;

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

}
