#pragma once

#include "settings/hostsettings.h"

#include <memory>
#include <optional>
#include <string>

namespace Daemon {

/// The daemon of one host: owns and connects the caller and operator interfaces, the peers, the store and the
/// groups. `start`, `drain` and `stop` must be called on the same thread.
class Host {
public:
    explicit Host(const Settings::HostSettings& settings);
    ~Host();
    Host(const Host&) = delete;
    Host& operator=(const Host&) = delete;

    /// Listens on all addresses and starts all services. Returns an error message on failure.
    std::optional<std::string> start();
    /// Announces that this host leaves, serves requests for a notice period, then rejects new ones and waits
    /// for the running requests and transactions. Returns false if some are still running after the drain
    /// time-out of the settings.
    bool drain();
    void stop();
    /// Whether another process with this host's name and a higher incarnation was seen.
    bool isSuperseded() const;

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

}
