#pragma once

#include "common/httpserver.h"

#include <chrono>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace Standins {

/// The platform's table service, object store and list of hosts, kept in memory. Thread-safe.
class Store {
public:
    HttpResponse handle(const HttpRequest& request);

private:
    using Clock = std::chrono::steady_clock;

    /// A row of the table service. Version 0: the row does not exist.
    struct Row {
        std::uint64_t version = 0;
        std::string nonce;
        Json value = "";

        Json toJson() const;
    };

    /// Injected fault: how the store treats requests.
    enum class Outage : std::uint8_t {
        /// Serves them.
        None,
        /// Answers with status 503.
        Refuse,
        /// Closes the connection without a response.
        Close,
        /// Does not respond before the outage ends.
        Hang,
    };

    /// One version of the list of hosts, with the time of the change.
    struct HostListSnapshot {
        Clock::time_point since;
        std::map<std::string, Json> hosts;
    };

    /// Injects faults, and returns the stored rows and counters.
    HttpResponse control(const HttpRequest& request);
    HttpResponse serve(const HttpRequest& request);
    /// Reads a row, or replaces it if the given version is the current one.
    HttpResponse table(const HttpRequest& request, const std::string& key);
    /// Reads or stores an object. A stored object cannot be changed.
    HttpResponse object(const HttpRequest& request, const std::string& hash);
    /// The list of hosts as it was before the injected delay.
    HttpResponse hosts() const;
    /// Adds, replaces or deletes a host.
    HttpResponse updateHost(const HttpRequest& request, const std::string& name);
    /// Whether the response to a change of `key` is to be lost; if so, counts it as lost.
    bool consumeLoss(const std::string& key);

    std::mutex m_mutex;
    std::map<std::string, Row> m_rows;
    std::map<std::string, std::string> m_objects;
    /// All versions of the list of hosts, the oldest first.
    std::vector<HostListSnapshot> m_hosts { { Clock::now(), {} } };
    /// Injected fault: time after which a change of the list of hosts becomes visible.
    std::chrono::milliseconds m_hostListDelay { 0 };
    /// Injected fault: delay of each request.
    std::chrono::milliseconds m_delay { 0 };
    Outage m_outage = Outage::None;
    /// Injected fault: number of changes, of keys with the prefix, whose responses are still to be lost.
    std::uint64_t m_lossesLeft = 0;
    std::string m_lossPrefix;
    std::uint64_t m_reads = 0;
    std::uint64_t m_writes = 0;
    std::uint64_t m_conflicts = 0;
    std::uint64_t m_lost = 0;
};

}
