#include "store.h"

#include <algorithm>
#include <cctype>
#include <thread>

#include <sys/socket.h>
#include <unistd.h>

namespace Review2 {

namespace {

    constexpr std::string_view digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    constexpr unsigned groupBits = 6;
    constexpr unsigned byteBits = 8;

    std::string encodeBase64(const std::string& text)
    {
        std::string result;
        unsigned value = 0;
        unsigned bits = 0;
        for (const char c : text) {
            value = (value << byteBits) | static_cast<unsigned char>(c);
            for (bits += byteBits; bits >= groupBits; bits -= groupBits)
                result += digits[(value >> (bits - groupBits)) & 63U];
        }
        if (bits > 0)
            result += digits[(value << (groupBits - bits)) & 63U];
        while (result.size() % 4 != 0)
            result += '=';
        return result;
    }

    std::string decodeBase64(const std::string& text)
    {
        std::string result;
        unsigned value = 0;
        unsigned bits = 0;
        for (const char c : text) {
            const std::size_t digit = digits.find(c);
            if (digit == std::string_view::npos)
                break;
            value = (value << groupBits) | static_cast<unsigned>(digit);
            bits += groupBits;
            if (bits < byteBits)
                continue;
            bits -= byteBits;
            result += static_cast<char>((value >> bits) & 255U);
        }
        return result;
    }

    std::string decodePercent(const std::string& text)
    {
        std::string result;
        for (std::size_t i = 0; i < text.size(); ++i) {
            if (text[i] != '%' || i + 2 >= text.size()) {
                result += text[i];
                continue;
            }
            result += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        }
        return result;
    }

    std::string lower(std::string text)
    {
        std::ranges::transform(text, text.begin(), [](unsigned char c) { return std::tolower(c); });
        return text;
    }

    std::string parameter(const std::map<std::string, std::string>& query, const std::string& name)
    {
        const auto found = query.find(name);
        return found == query.end() ? std::string() : found->second;
    }

}

Store::Store(std::function<bool(const std::string&, const std::string&)> promote)
    : m_promote(std::move(promote))
{
    std::uint16_t port = 0;
    m_listener = listenOnFreePort(port);
    m_address = "127.0.0.1:" + std::to_string(port);
    std::thread([this] { accept(); }).detach();
}

void Store::set(const std::string& table, const std::string& key, const std::string& value)
{
    const std::lock_guard lock(m_mutex);
    m_rows[{ table, key }] = { value, ++m_version, false };
    m_changed.notify_all();
}

void Store::remove(const std::string& table, const std::string& key)
{
    const std::lock_guard lock(m_mutex);
    m_rows[{ table, key }] = { {}, ++m_version, true };
    m_changed.notify_all();
}

int Store::silenceOpenConnections()
{
    const std::lock_guard lock(m_mutex);
    int count = 0;
    for (Connection& connection : m_connections) {
        if (connection.socket >= 0 && !connection.isSilent.exchange(true))
            ++count;
    }
    m_changed.notify_all();
    return count;
}

void Store::accept()
{
    while (true) {
        const int socket = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket < 0)
            continue;
        const std::lock_guard lock(m_mutex);
        Connection& connection = m_connections.emplace_back();
        connection.socket = socket;
        std::thread([this, &connection] { serve(connection); }).detach();
    }
}

bool Store::read(LineReader& reader, Request& request)
{
    const auto first = reader.next();
    if (!first)
        return false;
    const std::size_t methodEnd = first->find(' ');
    request.method = first->substr(0, methodEnd);
    std::string target = first->substr(methodEnd + 1, first->rfind(' ') - methodEnd - 1);
    const std::size_t queryStart = std::min(target.find('?'), target.size());
    request.path = target.substr(0, queryStart);
    for (std::size_t at = queryStart + 1; at < target.size();) {
        const std::size_t end = std::min(target.find('&', at), target.size());
        const std::size_t equals = std::min(target.find('=', at), end);
        request.query[target.substr(at, equals - at)]
            = equals < end ? decodePercent(target.substr(equals + 1, end - equals - 1)) : std::string();
        at = end + 1;
    }
    std::size_t length = 0;
    while (auto header = reader.next()) {
        if (header->empty())
            break;
        constexpr std::string_view lengthHeader = "content-length:";
        if (lower(*header).starts_with(lengthHeader))
            length = std::stoul(header->substr(lengthHeader.size()));
    }
    const std::string body = reader.bytes(length);
    request.body = Json::parse(body, nullptr, false);
    return body.size() == length;
}

void Store::serve(Connection& connection)
{
    LineReader reader(connection.socket);
    Request request;
    while (read(reader, request)) {
        const Answer answer = connection.isSilent ? Answer {} : handle(request);
        const std::string text = answer.body.dump();
        const std::string head = "HTTP/1.1 " + std::to_string(answer.status)
            + " -\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(text.size())
            + "\r\n\r\n";
        if (!connection.isSilent && !sendAll(connection.socket, head + text))
            break;
        request = {};
    }
    const std::lock_guard lock(m_mutex);
    ::close(connection.socket);
    connection.socket = -1;
}

Store::Answer Store::handle(const Request& request)
{
    if (request.path == "/-/rows-get")
        return rows(request);
    if (request.path == "/-/rows-feed")
        return feed(request);
    if (request.path == "/-/rows-tx")
        return transaction(request);
    if (request.path == "/promote") {
        const bool isDone = m_promote(
            request.body.at("service").get<std::string>(), request.body.at("id").get<std::string>());
        return { isDone ? 200 : 409, Json::object() };
    }
    return { 404, Json::object() };
}

Json Store::rowJson(const Key& key, const Row& row)
{
    Json json { { "table", key.first }, { "part", "" }, { "key", key.second },
        { "value", encodeBase64(row.value) }, { "rowVersion", row.version } };
    if (row.isDeleted)
        json["deleted"] = true;
    return json;
}

Json Store::body(Json rows) const
{
    const auto now = Clock::now().time_since_epoch();
    return { { "rows", std::move(rows) }, { "hasMore", false }, { "rowVersion", m_version },
        { "nowMs", std::chrono::duration_cast<milliseconds>(now).count() } };
}

Store::Answer Store::rows(const Request& request) const
{
    const std::string limit = parameter(request.query, "limit");
    const std::size_t most = limit.empty() ? 500 : std::stoul(limit);
    const std::lock_guard lock(m_mutex);
    Json found = Json::array();
    for (const auto& [key, row] : m_rows) {
        const bool isInRange = key.first == parameter(request.query, "table")
            && key.second >= parameter(request.query, "from");
        if (isInRange && !row.isDeleted && found.size() < most)
            found.push_back(rowJson(key, row));
    }
    return { 200, body(std::move(found)) };
}

Store::Answer Store::feed(const Request& request)
{
    const std::uint64_t after = std::stoull(parameter(request.query, "after"));
    const milliseconds wait(std::stol(parameter(request.query, "waitMs")));
    std::unique_lock lock(m_mutex);
    std::vector<std::pair<std::uint64_t, Json>> changes;
    m_changed.wait_for(lock, wait, [&] {
        changes.clear();
        for (const auto& [key, row] : m_rows) {
            if (key.first == parameter(request.query, "table") && row.version > after)
                changes.emplace_back(row.version, rowJson(key, row));
        }
        return !changes.empty();
    });
    std::ranges::sort(changes, {}, &std::pair<std::uint64_t, Json>::first);
    Json found = Json::array();
    for (auto& [version, row] : changes)
        found.push_back(std::move(row));
    return { 200, body(std::move(found)) };
}

Store::Answer Store::transaction(const Request& request)
{
    const auto keyOf = [](const Json& entry) {
        return Key { entry.at("table").get<std::string>(), entry.at("key").get<std::string>() };
    };
    const std::lock_guard lock(m_mutex);
    for (const Json& entry : request.body.at("expect")) {
        const auto row = m_rows.find(keyOf(entry));
        const std::uint64_t version = row == m_rows.end() || row->second.isDeleted ? 0 : row->second.version;
        if (version != entry.at("rowVersion").get<std::uint64_t>())
            return { 412, body(Json::array()) };
    }
    ++m_version;
    for (const Json& entry : request.body.at("setKeys"))
        m_rows[keyOf(entry)] = { decodeBase64(entry.at("value").get<std::string>()), m_version, false };
    for (const Json& entry : request.body.at("deleteKeys"))
        m_rows[keyOf(entry)] = { {}, m_version, true };
    m_changed.notify_all();
    return { 200, body(Json::array()) };
}

}
