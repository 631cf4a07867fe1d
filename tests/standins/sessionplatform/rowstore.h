#pragma once

#include "common/httpserver.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace Standins {

/// The platform's store of rows and its promote call, in memory, behind an HTTP server. Any thread may use
/// it.
class RowStore {
public:
    /// `promote` makes an upstream lead its service; false if it does not run.
    explicit RowStore(std::function<bool(const std::string& service, const std::string& id)> promote);
    ~RowStore();
    RowStore(const RowStore&) = delete;
    RowStore& operator=(const RowStore&) = delete;

    std::string address() const;
    void set(const std::string& table, const std::string& key, const std::string& value);
    /// Keys of the rows that exist.
    std::vector<std::string> keys(const std::string& table) const;
    void remove(const std::string& table, const std::string& key);
    /// While it is away, every call is answered with 503.
    void setUnavailable(bool isUnavailable);
    int promotions() const;

private:
    struct Row {
        std::string value;
        std::uint64_t version = 0;
        bool isDeleted = false;
    };
    using Key = std::pair<std::string, std::string>;

    HttpAnswer handle(const HttpRequest& request);
    HttpAnswer rows(const HttpRequest& request);
    HttpAnswer feed(const HttpRequest& request);
    HttpAnswer transaction(const Json& body);
    HttpAnswer promote(const HttpRequest& request);
    Json rowJson(const Key& key, const Row& row) const;
    HttpAnswer answer(int status, Json rows) const;
    void put(const Key& key, std::string value, bool isDeleted);

    std::function<bool(const std::string&, const std::string&)> m_promote;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<Key, Row> m_rows;
    std::uint64_t m_version = 0;
    bool m_isUnavailable = false;
    int m_promotions = 0;
    HttpServer m_server;
};

}
