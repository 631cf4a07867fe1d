#pragma once

#include "../tests/standins/common/httpserver.h"
#include "record.h"

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>

namespace Review {

/// Stand-in for the platform's metadata store and for its promoter, which checks fencing tokens. Keeps the
/// rows in memory. Thread-safe.
class PlatformStandin {
public:
    /// `promote` makes a database the primary of its service; it returns false if the database does not run.
    using PromoteHook = std::function<bool(const std::string& service, const std::string& id)>;

    PlatformStandin(Record& record, PromoteHook promote);
    ~PlatformStandin();
    PlatformStandin(const PlatformStandin&) = delete;
    PlatformStandin& operator=(const PlatformStandin&) = delete;

    /// IP:PORT of the store and of the promoter.
    std::string address() const;
    /// Writes a row as the operator or a database does.
    void set(const std::string& table, const std::string& key, const std::string& value);
    /// Deletes a row as the operator or a database does.
    void remove(const std::string& table, const std::string& key);

private:
    struct Row {
        std::string value;
        std::uint64_t version = 0;
        bool isDeleted = false;
    };
    using Key = std::pair<std::string, std::string>;

    Standins::HttpResponse handle(const Standins::HttpRequest& request);
    Standins::HttpResponse rows(const Standins::HttpRequest& request);
    Standins::HttpResponse feed(const Standins::HttpRequest& request);
    Standins::HttpResponse transaction(const Standins::Json& body);
    Standins::HttpResponse promote(const Standins::HttpRequest& request);
    void put(const Key& key, std::string value, bool isDeleted);
    Standins::HttpResponse answer(int status, Standins::Json rows, bool hasMore) const;

    Record& m_record;
    PromoteHook m_promote;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<Key, Row> m_rows;
    std::uint64_t m_version = 0;
    /// Highest fencing token by service.
    std::map<std::string, std::uint64_t> m_tokens;
    bool m_isStopping = false;
    Standins::HttpServer m_server;
};

}
