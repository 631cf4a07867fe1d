#include "platform.h"

#include "sockets.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <chrono>
#include <cstdlib>
#include <optional>
#include <string_view>
#include <thread>

#include <nlohmann/json.hpp>
#include <sys/socket.h>
#include <unistd.h>

namespace Review {

namespace {

    using Json = nlohmann::json;

    constexpr int httpOk = 200;
    constexpr int httpNotFound = 404;
    constexpr int httpConflict = 409;
    constexpr int httpPreconditionFailed = 412;
    constexpr std::size_t maxRows = 500;
    constexpr std::string_view alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

    std::string encodeBase64(std::string_view text)
    {
        std::string result;
        for (std::size_t i = 0; i < text.size(); i += 3) {
            const std::string_view part = text.substr(i, 3);
            unsigned bits = 0;
            for (std::size_t k = 0; k < 3; ++k)
                bits = bits << 8U | (k < part.size() ? static_cast<unsigned char>(part[k]) : 0U);
            for (std::size_t k = 0; k < 4; ++k)
                result += k <= part.size() ? alphabet[bits >> (18U - 6U * k) & 63U] : '=';
        }
        return result;
    }

    std::string decodeBase64(std::string_view text)
    {
        std::string result;
        unsigned bits = 0;
        int count = 0;
        for (const char c : text) {
            const std::size_t value = alphabet.find(c);
            if (value == std::string_view::npos)
                break;
            bits = bits << 6U | static_cast<unsigned>(value);
            count += 6;
            if (count >= 8) {
                count -= 8;
                result += static_cast<char>(bits >> static_cast<unsigned>(count) & 255U);
            }
        }
        return result;
    }

    std::string unescaped(std::string_view text)
    {
        std::string result;
        for (std::size_t i = 0; i < text.size(); ++i) {
            if (text[i] == '%' && i + 2 < text.size()) {
                result += static_cast<char>(
                    std::strtol(std::string(text.substr(i + 1, 2)).c_str(), nullptr, 16));
                i += 2;
            } else {
                result += text[i];
            }
        }
        return result;
    }

    std::map<std::string, std::string> parseQuery(std::string_view text)
    {
        std::map<std::string, std::string> result;
        while (!text.empty()) {
            const std::string_view entry = text.substr(0, text.find('&'));
            text.remove_prefix(std::min(text.size(), entry.size() + 1));
            const std::size_t equals = entry.find('=');
            if (equals != std::string_view::npos)
                result[std::string(entry.substr(0, equals))] = unescaped(entry.substr(equals + 1));
        }
        return result;
    }

    std::string valueOf(const std::map<std::string, std::string>& values, const std::string& name)
    {
        const auto found = values.find(name);
        return found == values.end() ? std::string() : found->second;
    }

    std::uint64_t numberOf(const std::map<std::string, std::string>& values, const std::string& name)
    {
        return std::strtoull(valueOf(values, name).c_str(), nullptr, 10);
    }

    Json rowJson(const std::string& table, const std::string& key, const std::string& value,
        std::uint64_t version, bool isDeleted)
    {
        Json json { { "table", table }, { "part", "" }, { "key", key }, { "value", encodeBase64(value) },
            { "rowVersion", version } };
        if (isDeleted)
            json["deleted"] = true;
        return json;
    }

}

Platform::Platform(std::function<bool(const PromoteCall&)> promote)
    : m_promote(std::move(promote))
{
    const int listener = listenOnLoopback(m_port);
    std::thread([this, listener] { accept(listener); }).detach();
}

void Platform::set(const std::string& table, const std::string& key, const std::string& value)
{
    const std::lock_guard lock(m_mutex);
    m_rows[{ table, key }] = { value, ++m_version, false };
    m_changed.notify_all();
}

void Platform::remove(const std::string& table, const std::string& key)
{
    const std::lock_guard lock(m_mutex);
    m_rows[{ table, key }] = { {}, ++m_version, true };
    m_changed.notify_all();
}

void Platform::setStoreSilent(bool isSilent)
{
    const std::lock_guard lock(m_mutex);
    m_silences += isSilent ? 1 : 0;
    m_isStoreSilent = isSilent;
}

bool Platform::isStoreSilent() { return storeState().first; }

std::pair<bool, int> Platform::storeState()
{
    const std::lock_guard lock(m_mutex);
    return { m_isStoreSilent, m_silences };
}

void Platform::accept(int listener)
{
    while (true) {
        const int socket = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket >= 0)
            std::thread([this, socket] { serve(socket); }).detach();
    }
}

void Platform::serve(int socket)
{
    Input input(socket);
    while (const auto first = input.line()) {
        Request request;
        const std::size_t space = first->find(' ');
        request.method = first->substr(0, space);
        std::string target = first->substr(space + 1);
        target.erase(target.find(' '));
        const std::size_t mark = target.find('?');
        request.path = target.substr(0, mark);
        if (mark != std::string::npos)
            request.query = parseQuery(target.substr(mark + 1));
        auto header = input.line();
        for (; header && !header->empty(); header = input.line()) {
            std::string name = header->substr(0, header->find(':'));
            std::ranges::transform(name, name.begin(), [](unsigned char c) { return std::tolower(c); });
            const std::size_t value = header->find_first_not_of(' ', name.size() + 1);
            request.headers[name] = value == std::string::npos ? std::string() : header->substr(value);
        }
        const auto body = input.bytes(numberOf(request.headers, "content-length"));
        if (!header || !body)
            break;
        request.body = *body;
        const bool isForStore = request.path.starts_with("/-/");
        const auto [isSilent, silences] = storeState();
        bool isLost = isForStore && isSilent;
        const Response response = isLost ? Response {} : handle(request);
        isLost = isLost || (isForStore && storeState().second != silences);
        // A connection on which a response is lost delivers nothing further.
        while (isLost && input.line()) { }
        if (isLost)
            break;
        const std::string text = "HTTP/1.1 " + std::to_string(response.status)
            + " -\r\nContent-Type: application/json\r\nContent-Length: "
            + std::to_string(response.body.size()) + "\r\n\r\n" + response.body;
        if (!sendAll(socket, text))
            break;
    }
    ::close(socket);
}

Platform::Response Platform::handle(const Request& request)
{
    if (request.path == "/promote")
        return promote(request);
    if (request.path == "/-/rows-get")
        return rows(request);
    if (request.path == "/-/rows-feed")
        return feed(request);
    if (request.path == "/-/rows-tx")
        return transaction(request);
    return { httpNotFound };
}

Platform::Response Platform::answer(int status, const Json& rows) const
{
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    const Json body { { "rows", rows }, { "hasMore", rows.size() == maxRows }, { "rowVersion", m_version },
        { "nowMs", std::chrono::duration_cast<std::chrono::milliseconds>(now).count() } };
    return { status, body.dump() };
}

Platform::Response Platform::rows(const Request& request)
{
    const std::lock_guard lock(m_mutex);
    const std::uint64_t limit = numberOf(request.query, "limit");
    const std::size_t most = limit == 0 ? maxRows : std::min<std::size_t>(limit, maxRows);
    Json found = Json::array();
    for (const auto& [key, row] : m_rows) {
        const bool isAsked = key.first == valueOf(request.query, "table")
            && key.second >= valueOf(request.query, "from") && !row.isDeleted;
        if (isAsked && found.size() < most)
            found.push_back(rowJson(key.first, key.second, row.value, row.version, false));
    }
    return answer(httpOk, found);
}

Platform::Response Platform::feed(const Request& request)
{
    const std::string table = valueOf(request.query, "table");
    const std::uint64_t after = numberOf(request.query, "after");
    Json found;
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, std::chrono::milliseconds(numberOf(request.query, "waitMs")), [&] {
        found = Json::array();
        for (const auto& [key, row] : m_rows) {
            if (key.first == table && row.version > after)
                found.push_back(rowJson(key.first, key.second, row.value, row.version, row.isDeleted));
        }
        return !found.empty();
    });
    std::sort(found.begin(), found.end(), [](const Json& left, const Json& right) {
        return left.at("rowVersion").get<std::uint64_t>() < right.at("rowVersion").get<std::uint64_t>();
    });
    return answer(httpOk, found);
}

Platform::Response Platform::transaction(const Request& request)
{
    const Json body = Json::parse(request.body);
    const auto keyOf = [](const Json& entry) {
        return Key { entry.at("table").get<std::string>(), entry.at("key").get<std::string>() };
    };
    const std::lock_guard lock(m_mutex);
    bool isHeld = true;
    Json current = Json::array();
    for (const Json& entry : body.at("expect")) {
        const auto row = m_rows.find(keyOf(entry));
        const bool exists = row != m_rows.end() && !row->second.isDeleted;
        const std::uint64_t version = exists ? row->second.version : 0;
        isHeld = isHeld && version == entry.at("rowVersion").get<std::uint64_t>();
        if (exists)
            current.push_back(
                rowJson(row->first.first, row->first.second, row->second.value, version, false));
    }
    if (!isHeld)
        return answer(httpPreconditionFailed, current);
    ++m_version;
    for (const Json& entry : body.at("setKeys"))
        m_rows[keyOf(entry)] = { decodeBase64(entry.at("value").get<std::string>()), m_version, false };
    for (const Json& entry : body.at("deleteKeys"))
        m_rows[keyOf(entry)] = { {}, m_version, true };
    m_changed.notify_all();
    return answer(httpOk, Json::array());
}

Platform::Response Platform::promote(const Request& request)
{
    const Json body = Json::parse(request.body);
    const PromoteCall call { body.at("service").get<std::string>(), body.at("id").get<std::string>(),
        valueOf(request.headers, "x-duty-holder"), numberOf(request.headers, "x-fencing-token") };
    {
        const std::lock_guard lock(m_mutex);
        std::uint64_t& highest = m_tokens[call.service];
        if (call.token < highest)
            return { httpConflict };
        highest = call.token;
    }
    return { m_promote(call) ? httpOk : httpConflict };
}

}
