#pragma once

#include "common/httpserver.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace Standins {

/// Stand-in for the platform's row store and promoter: an HTTP server that keeps the rows in memory.
/// Thread-safe.
class RowStore {
public:
    /// `promote` makes an upstream the primary of its service, and returns false if the upstream does not
    /// run.
    explicit RowStore(std::function<bool(const std::string& service, const std::string& id)> promote);
    ~RowStore();
    RowStore(const RowStore&) = delete;
    RowStore& operator=(const RowStore&) = delete;

    /// IP:PORT
    std::string address() const;
    void set(const std::string& table, const std::string& key, const std::string& value);
    /// The value of a row; empty if there is none.
    std::string value(const std::string& table, const std::string& key) const;
    /// Keys of the rows of a table that are not deleted.
    std::vector<std::string> keys(const std::string& table) const;
    void remove(const std::string& table, const std::string& key);
    /// While the store is unavailable, it responds to every call with HTTP status 503, also to pending long
    /// polls.
    void setUnavailable(bool isUnavailable);
    /// The store becomes unavailable with the next successful promotion.
    void failAfterPromotion();
    /// Keeps a copy of all rows, to which `restore` returns.
    void saveCopy();
    /// Loses all that was written since the last `saveCopy`, as a store that is restored from a copy. Its
    /// versions go back and its era rises.
    void restore();
    /// While set, promotion requests get no answer within the callers' time limits, and are not carried out.
    void setPromotionsUnanswered(bool areUnanswered);
    /// The upstreams whose promotion was requested, in the order of the requests.
    std::vector<std::string> requestedPromotions() const;
    /// Number of successful promotions.
    int promotions() const;
    /// A usage report that was accepted.
    struct UsageReport {
        std::string holder;
        std::uint64_t token = 0;
        std::uint64_t window = 0;
        std::map<std::string, std::uint64_t> counts;
    };
    std::vector<UsageReport> usageReports() const;

private:
    struct Row {
        std::string value;
        std::uint64_t version = 0;
        bool isDeleted = false;
    };
    using Key = std::pair<std::string, std::string>;

    HttpResponse handle(const HttpRequest& request);
    HttpResponse handleCall(const HttpRequest& request);
    HttpResponse rows(const HttpRequest& request);
    HttpResponse feed(const HttpRequest& request);
    HttpResponse transaction(const Json& body);
    HttpResponse promote(const HttpRequest& request);
    HttpResponse reportUsage(const HttpRequest& request);
    Json rowJson(const Key& key, const Row& row) const;
    enum class HasMore : std::uint8_t { No, Yes };
    HttpResponse answer(int status, Json rows, HasMore hasMore = HasMore::No) const;
    void put(const Key& key, std::string value, bool isDeleted);

    std::function<bool(const std::string&, const std::string&)> m_promote;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<Key, Row> m_rows;
    std::uint64_t m_version = 0;
    /// Increases with each `restore`.
    std::uint64_t m_era = 1;
    std::map<Key, Row> m_savedRows;
    std::uint64_t m_savedVersion = 0;
    bool m_isUnavailable = false;
    bool m_failsAfterPromotion = false;
    bool m_arePromotionsUnanswered = false;
    std::vector<std::string> m_requestedPromotions;
    int m_promotions = 0;
    std::vector<UsageReport> m_usageReports;
    std::uint64_t m_highestUsageToken = 0;
    HttpServer m_server;
};

}
