#pragma once

#include "net.h"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <mutex>
#include <string>
#include <utility>

#include <nlohmann/json.hpp>

namespace Review2 {

using Json = nlohmann::json;

/// Stand-in for the platform's metadata store and for the platform's promote call. Thread-safe.
class Store {
public:
    /// `promote` makes a database the primary of its service and returns false if it does not run.
    explicit Store(std::function<bool(const std::string& service, const std::string& id)> promote);

    std::string address() const { return m_address; }
    void set(const std::string& table, const std::string& key, const std::string& value);
    void remove(const std::string& table, const std::string& key);
    /// From now on, the connections that are open deliver nothing: what arrives on them is dropped, and no
    /// answer is sent. They are not closed. New connections are served. Returns the number of connections.
    int silenceOpenConnections();

private:
    struct Row {
        std::string value;
        std::uint64_t version = 0;
        bool isDeleted = false;
    };
    struct Connection {
        int socket = -1;
        std::atomic<bool> isSilent = false;
    };
    struct Request {
        std::string method;
        std::string path;
        std::map<std::string, std::string> query;
        Json body;
    };
    struct Answer {
        int status = 200;
        Json body = Json::object();
    };
    using Key = std::pair<std::string, std::string>;

    void accept();
    void serve(Connection& connection);
    static bool read(LineReader& reader, Request& request);
    Answer handle(const Request& request);
    Answer rows(const Request& request) const;
    Answer feed(const Request& request);
    Answer transaction(const Request& request);
    Json body(Json rows) const;
    static Json rowJson(const Key& key, const Row& row);

    std::function<bool(const std::string&, const std::string&)> m_promote;
    std::string m_address;
    int m_listener = -1;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<Key, Row> m_rows;
    std::uint64_t m_version = 0;
    std::list<Connection> m_connections;
};

}
