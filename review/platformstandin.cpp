#include "platformstandin.h"

#include <chrono>

#include <gnutls/gnutls.h>

namespace Review {

namespace {

    using Standins::HttpRequest;
    using Standins::HttpResponse;
    using Standins::Json;
    using Standins::jsonResponse;

    constexpr std::size_t maxRows = 500;
    constexpr int httpOk = 200;
    constexpr int httpNotFound = 404;
    constexpr int httpConflict = 409;
    constexpr int httpGone = 410;
    constexpr int httpPreconditionFailed = 412;
    constexpr int httpUnavailable = 503;

    using Base64Function = int (*)(const gnutls_datum_t* input, gnutls_datum_t* output);

    std::string convertBase64(const std::string& text, Base64Function convert)
    {
        const gnutls_datum_t input { reinterpret_cast<unsigned char*>(const_cast<char*>(text.data())),
            static_cast<unsigned>(text.size()) };
        gnutls_datum_t output {};
        if (text.empty() || convert(&input, &output) != GNUTLS_E_SUCCESS)
            return {};
        std::string result(reinterpret_cast<char*>(output.data), output.size);
        gnutls_free(output.data);
        return result;
    }

    std::string parameter(const HttpRequest& request, const std::string& name)
    {
        const auto found = request.query.find(name);
        return found == request.query.end() ? std::string() : found->second;
    }

    std::string header(const HttpRequest& request, const std::string& name)
    {
        const std::size_t start = request.headers.find(name + ": ");
        if (start == std::string::npos)
            return {};
        const std::size_t from = start + name.size() + 2;
        return request.headers.substr(from, request.headers.find('\n', from) - from);
    }

}

PlatformStandin::PlatformStandin(Record& record, PromoteHook promote)
    : m_record(record)
    , m_promote(std::move(promote))
    , m_server("127.0.0.1", 0, { [this](const HttpRequest& request) { return handle(request); }, nullptr })
{
}

// The server's destructor waits for pending calls; this ends the long polls among them.
PlatformStandin::~PlatformStandin()
{
    const std::lock_guard lock(m_mutex);
    m_isStopping = true;
    m_changed.notify_all();
}

std::string PlatformStandin::address() const { return "127.0.0.1:" + std::to_string(m_server.port()); }

void PlatformStandin::put(const Key& key, std::string value, bool isDeleted)
{
    m_rows[key] = { std::move(value), m_version, isDeleted };
    m_changed.notify_all();
}

void PlatformStandin::set(const std::string& table, const std::string& key, const std::string& value)
{
    const std::lock_guard lock(m_mutex);
    ++m_version;
    put({ table, key }, value, false);
}

void PlatformStandin::remove(const std::string& table, const std::string& key)
{
    const std::lock_guard lock(m_mutex);
    ++m_version;
    put({ table, key }, {}, true);
}

HttpResponse PlatformStandin::handle(const HttpRequest& request)
{
    if (request.path == "/promote")
        return promote(request);
    if (request.path == "/-/rows-get")
        return rows(request);
    if (request.path == "/-/rows-feed")
        return feed(request);
    if (request.path == "/-/rows-tx")
        return transaction(Json::parse(request.body));
    return jsonResponse(httpNotFound, Json::object());
}

HttpResponse PlatformStandin::answer(int status, Json rows, bool hasMore) const
{
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    return jsonResponse(status,
        { { "rows", std::move(rows) }, { "hasMore", hasMore }, { "rowVersion", m_version },
            { "nowMs", std::chrono::duration_cast<std::chrono::milliseconds>(now).count() } });
}

namespace {

    Json rowJson(const std::string& table, const std::string& key, const std::string& value,
        std::uint64_t version, bool isDeleted)
    {
        Json json { { "table", table }, { "part", "" }, { "key", key },
            { "value", convertBase64(value, gnutls_base64_encode2) }, { "rowVersion", version } };
        if (isDeleted)
            json["deleted"] = true;
        return json;
    }

}

HttpResponse PlatformStandin::rows(const HttpRequest& request)
{
    const std::lock_guard lock(m_mutex);
    const std::size_t wanted = request.number("limit");
    const std::size_t limit = wanted == 0 ? maxRows : std::min<std::size_t>(wanted, maxRows);
    const std::string target = parameter(request, "target");
    Json found = Json::array();
    bool hasMore = false;
    for (const auto& [key, row] : m_rows) {
        const bool isInRange
            = key.second >= parameter(request, "from") && (target.empty() || key.second < target);
        if (key.first != parameter(request, "table") || row.isDeleted || !isInRange)
            continue;
        if (found.size() == limit) {
            hasMore = true;
            break;
        }
        found.push_back(rowJson(key.first, key.second, row.value, row.version, false));
    }
    return answer(httpOk, std::move(found), hasMore);
}

HttpResponse PlatformStandin::feed(const HttpRequest& request)
{
    const std::uint64_t after = request.number("after");
    std::unique_lock lock(m_mutex);
    if (after > m_version)
        return jsonResponse(httpGone, Json::object());
    std::map<std::uint64_t, Json> found;
    m_changed.wait_for(lock, std::chrono::milliseconds(request.number("waitMs")), [&] {
        for (const auto& [key, row] : m_rows) {
            if (key.first == parameter(request, "table") && row.version > after)
                found[row.version] = rowJson(key.first, key.second, row.value, row.version, row.isDeleted);
        }
        return m_isStopping || !found.empty();
    });
    if (m_isStopping)
        return jsonResponse(httpUnavailable, Json::object());
    Json changes = Json::array();
    for (auto& [version, row] : found)
        changes.push_back(std::move(row));
    return answer(httpOk, std::move(changes), false);
}

HttpResponse PlatformStandin::transaction(const Json& body)
{
    const std::lock_guard lock(m_mutex);
    const auto keyOf = [](const Json& entry) {
        return Key { entry.at("table").get<std::string>(), entry.at("key").get<std::string>() };
    };
    bool isRefused = false;
    Json current = Json::array();
    for (const Json& entry : body.at("expect")) {
        const Key key = keyOf(entry);
        const auto row = m_rows.find(key);
        const bool exists = row != m_rows.end() && !row->second.isDeleted;
        if (exists)
            current.push_back(rowJson(key.first, key.second, row->second.value, row->second.version, false));
        isRefused |= (exists ? row->second.version : 0) != entry.at("rowVersion").get<std::uint64_t>();
    }
    if (isRefused)
        return answer(httpPreconditionFailed, std::move(current), false);
    ++m_version;
    for (const Json& entry : body.at("setKeys"))
        put(keyOf(entry), convertBase64(entry.at("value").get<std::string>(), gnutls_base64_decode2), false);
    for (const Json& entry : body.at("deleteKeys"))
        put(keyOf(entry), {}, true);
    return answer(httpOk, Json::array(), false);
}

HttpResponse PlatformStandin::promote(const HttpRequest& request)
{
    const Json body = Json::parse(request.body);
    const auto service = body.at("service").get<std::string>();
    const auto id = body.at("id").get<std::string>();
    const std::string holder = header(request, "X-Duty-Holder");
    const std::uint64_t token = std::strtoull(header(request, "X-Fencing-Token").c_str(), nullptr, 10);
    bool isCurrent = false;
    {
        const std::lock_guard lock(m_mutex);
        std::uint64_t& newest = m_tokens[service];
        isCurrent = token >= newest;
        newest = std::max(newest, token);
    }
    const bool isDone = isCurrent && m_promote(service, id);
    m_record.write("promote " + service + " to " + id + " by " + holder + " with token "
        + std::to_string(token) + (isDone ? ": 200" : ": 409"));
    return jsonResponse(isDone ? httpOk : httpConflict, Json::object());
}

}
