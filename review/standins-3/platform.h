#pragma once

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <utility>

#include <nlohmann/json_fwd.hpp>

namespace Review {

/// A call of `POST /promote`.
struct PromoteCall {
    std::string service;
    std::string id;
    std::string holder;
    std::uint64_t token = 0;
};

/// Stand-in for the platform's store (rows only) and for the calls to the platform. Checks fences. Its
/// threads run until the process ends. Thread-safe.
class Platform {
public:
    /// `promote` carries out a call whose fence holds; false if the database does not run.
    explicit Platform(std::function<bool(const PromoteCall&)> promote);

    std::uint16_t port() const { return m_port; }
    /// Writes a row as the operator or a database does.
    void set(const std::string& table, const std::string& key, const std::string& value);
    void remove(const std::string& table, const std::string& key);
    /// While the store is silent, it performs and answers no calls; those that wait then get no answer
    /// either.
    void setStoreSilent(bool isSilent);
    bool isStoreSilent();

private:
    struct Row {
        std::string value;
        std::uint64_t version = 0;
        bool isDeleted = false;
    };
    struct Request {
        std::string method;
        std::string path;
        std::map<std::string, std::string> query;
        std::map<std::string, std::string> headers;
        std::string body;
    };
    struct Response {
        int status = 200;
        std::string body = "{}";
    };
    using Key = std::pair<std::string, std::string>;

    void accept(int listener);
    void serve(int socket);
    /// Whether the store is silent, and how often it has fallen silent.
    std::pair<bool, int> storeState();
    Response handle(const Request& request);
    Response rows(const Request& request);
    Response feed(const Request& request);
    Response transaction(const Request& request);
    Response promote(const Request& request);
    Response answer(int status, const nlohmann::json& rows) const;

    std::function<bool(const PromoteCall&)> m_promote;
    std::uint16_t m_port = 0;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_isStoreSilent = false;
    int m_silences = 0;
    std::map<Key, Row> m_rows;
    std::uint64_t m_version = 0;
    /// The highest token seen for each service.
    std::map<std::string, std::uint64_t> m_tokens;
};

}
