#pragma once

#include "common/httpserver.h"

#include <chrono>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace Standins {

/// The platform's table service, object store and list of hosts, in memory. Any thread may call it.
class Store {
public:
    HttpResponse handle(const HttpRequest& request);

private:
    using Clock = std::chrono::steady_clock;

    struct Row {
        std::uint64_t version = 0;
        std::string nonce;
        Json value = "";

        Json toJson() const;
    };

    /// How the store behaves during an outage.
    enum class Outage : std::uint8_t {
        None,
        /// Answers 503.
        Refuse,
        /// Closes the connection without an answer.
        Close,
        /// Does not answer before the outage ends.
        Hang,
    };

    struct HostListSnapshot {
        Clock::time_point since;
        std::map<std::string, Json> hosts;
    };

    HttpResponse control(const HttpRequest& request);
    HttpResponse serve(const HttpRequest& request);
    HttpResponse table(const HttpRequest& request, const std::string& key);
    HttpResponse object(const HttpRequest& request, const std::string& hash);
    HttpResponse hosts() const;
    HttpResponse updateHost(const HttpRequest& request, const std::string& name);
    /// Whether the answer to a change of `key` is to be lost.
    bool consumeLoss(const std::string& key);

    std::mutex m_mutex;
    std::map<std::string, Row> m_rows;
    std::map<std::string, std::string> m_objects;
    std::vector<HostListSnapshot> m_hosts { { Clock::now(), {} } };
    std::chrono::milliseconds m_hostListDelay { 0 };
    std::chrono::milliseconds m_delay { 0 };
    Outage m_outage = Outage::None;
    std::uint64_t m_lossesLeft = 0;
    std::string m_lossPrefix;
    std::uint64_t m_reads = 0;
    std::uint64_t m_writes = 0;
    std::uint64_t m_conflicts = 0;
    std::uint64_t m_lost = 0;
};

}
