#include "sessionplatform/rowstore.h"

#include <algorithm>
#include <chrono>
#include <thread>
#include <utility>

#include <gnutls/gnutls.h>

namespace Standins {

namespace {

    constexpr std::size_t maxPageRows = 500;
    constexpr std::size_t maxPageBytes = 1000UL * 1000;

    std::string base64(const std::string& text, bool isEncoding)
    {
        const gnutls_datum_t input { reinterpret_cast<unsigned char*>(const_cast<char*>(text.data())),
            static_cast<unsigned>(text.size()) };
        gnutls_datum_t output {};
        if (text.empty()
            || (isEncoding ? gnutls_base64_encode2(&input, &output) : gnutls_base64_decode2(&input, &output))
                != 0)
            return {};
        std::string result(reinterpret_cast<char*>(output.data), output.size);
        gnutls_free(output.data);
        return result;
    }

    /// Value of a header; empty if there is none.
    std::string header(const HttpRequest& request, const std::string& name)
    {
        const std::size_t start = request.headers.find(name + ": ");
        if (start == std::string::npos)
            return {};
        const std::size_t value = start + name.size() + 2;
        return request.headers.substr(value, request.headers.find_first_of("\r\n", value) - value);
    }

    std::string parameter(const HttpRequest& request, const std::string& name)
    {
        const auto found = request.query.find(name);
        return found == request.query.end() ? std::string() : found->second;
    }

}

RowStore::RowStore(std::function<bool(const std::string& service, const std::string& id)> promote)
    : m_promote(std::move(promote))
    , m_server("127.0.0.1", 0, { [this](const HttpRequest& request) { return handle(request); }, nullptr })
{
}

// The destructor of the server waits for pending calls. This ends the long polls among them.
RowStore::~RowStore() { setUnavailable(true); }

std::string RowStore::address() const { return "127.0.0.1:" + std::to_string(m_server.port()); }

void RowStore::put(const Key& key, std::string value, bool isDeleted)
{
    m_rows[key] = { std::move(value), m_version, isDeleted };
}

void RowStore::set(const std::string& table, const std::string& key, const std::string& value)
{
    const std::lock_guard lock(m_mutex);
    ++m_version;
    put({ table, key }, value, false);
    m_changed.notify_all();
}

std::string RowStore::value(const std::string& table, const std::string& key) const
{
    const std::lock_guard lock(m_mutex);
    const auto row = m_rows.find({ table, key });
    return row == m_rows.end() ? std::string() : row->second.value;
}

std::vector<std::string> RowStore::keys(const std::string& table) const
{
    const std::lock_guard lock(m_mutex);
    std::vector<std::string> result;
    for (const auto& [key, row] : m_rows) {
        if (key.first == table && !row.isDeleted)
            result.push_back(key.second);
    }
    return result;
}

void RowStore::remove(const std::string& table, const std::string& key)
{
    const std::lock_guard lock(m_mutex);
    ++m_version;
    put({ table, key }, {}, true);
    m_changed.notify_all();
}

void RowStore::setUnavailable(bool isUnavailable)
{
    const std::lock_guard lock(m_mutex);
    m_isUnavailable = isUnavailable;
    m_changed.notify_all();
}

void RowStore::setPromotionsUnanswered(bool areUnanswered)
{
    const std::lock_guard lock(m_mutex);
    m_arePromotionsUnanswered = areUnanswered;
}

std::vector<std::string> RowStore::requestedPromotions() const
{
    const std::lock_guard lock(m_mutex);
    return m_requestedPromotions;
}

void RowStore::failAfterPromotion()
{
    const std::lock_guard lock(m_mutex);
    m_failsAfterPromotion = true;
}

void RowStore::saveCopy()
{
    const std::lock_guard lock(m_mutex);
    m_savedRows = m_rows;
    m_savedVersion = m_version;
}

void RowStore::restore()
{
    const std::lock_guard lock(m_mutex);
    m_rows = m_savedRows;
    m_version = m_savedVersion;
    ++m_era;
    m_changed.notify_all();
}

int RowStore::promotions() const
{
    const std::lock_guard lock(m_mutex);
    return m_promotions;
}

std::vector<RowStore::UsageReport> RowStore::usageReports() const
{
    const std::lock_guard lock(m_mutex);
    return m_usageReports;
}

Json RowStore::rowJson(const Key& key, const Row& row) const
{
    Json json { { "table", key.first }, { "part", "" }, { "key", key.second },
        { "value", base64(row.value, true) }, { "rowVersion", row.version } };
    if (row.isDeleted)
        json["deleted"] = true;
    return json;
}

HttpResponse RowStore::answer(int status, Json rows, HasMore hasMore) const
{
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    return jsonResponse(status,
        { { "rows", std::move(rows) }, { "hasMore", hasMore == HasMore::Yes }, { "rowVersion", m_version },
            { "nowMs", std::chrono::duration_cast<std::chrono::milliseconds>(now).count() } });
}

HttpResponse RowStore::handle(const HttpRequest& request)
{
    HttpResponse response = handleCall(request);
    const std::lock_guard lock(m_mutex);
    response.headers["Store-Era"] = std::to_string(m_era);
    return response;
}

HttpResponse RowStore::handleCall(const HttpRequest& request)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_isUnavailable)
            return jsonResponse(503, Json::object());
    }
    if (request.path == "/promote")
        return promote(request);
    if (request.path == "/usage")
        return reportUsage(request);
    if (request.path == "/-/rows-get")
        return rows(request);
    if (request.path == "/-/rows-feed")
        return feed(request);
    if (request.path == "/-/rows-tx")
        return transaction(Json::parse(request.body));
    return jsonResponse(404, Json::object());
}

HttpResponse RowStore::rows(const HttpRequest& request)
{
    const std::lock_guard lock(m_mutex);
    const std::size_t limit = std::clamp<std::size_t>(request.number("limit"), 1, maxPageRows);
    Json found = Json::array();
    std::size_t bytes = 0;
    for (const auto& [key, row] : m_rows) {
        if (key.first != parameter(request, "table") || key.second < parameter(request, "from")
            || row.isDeleted)
            continue;
        bytes += row.value.size();
        if (found.size() == limit || (bytes > maxPageBytes && !found.empty()))
            return answer(200, std::move(found), HasMore::Yes);
        found.push_back(rowJson(key, row));
    }
    return answer(200, std::move(found));
}

HttpResponse RowStore::feed(const HttpRequest& request)
{
    const std::uint64_t after = request.number("after");
    const auto changes = [&] {
        Json found = Json::array();
        for (const auto& [key, row] : m_rows) {
            if (key.first == parameter(request, "table") && row.version > after)
                found.push_back(rowJson(key, row));
        }
        return found;
    };
    std::unique_lock lock(m_mutex);
    if (after > m_version)
        return jsonResponse(410, Json::object());
    Json found;
    m_changed.wait_for(lock, std::chrono::milliseconds(request.number("waitMs")), [&] {
        found = changes();
        return m_isUnavailable || !found.empty();
    });
    return m_isUnavailable ? jsonResponse(503, Json::object()) : answer(200, std::move(found));
}

HttpResponse RowStore::transaction(const Json& body)
{
    const std::lock_guard lock(m_mutex);
    const auto keyOf = [](const Json& entry) {
        return Key { entry.at("table").get<std::string>(), entry.at("key").get<std::string>() };
    };
    for (const Json& entry : body.at("expect")) {
        const auto row = m_rows.find(keyOf(entry));
        const std::uint64_t version = row == m_rows.end() || row->second.isDeleted ? 0 : row->second.version;
        if (version != entry.at("rowVersion").get<std::uint64_t>())
            return answer(412, Json::array());
    }
    ++m_version;
    for (const Json& entry : body.at("setKeys"))
        put(keyOf(entry), base64(entry.at("value").get<std::string>(), false), false);
    for (const Json& entry : body.at("deleteKeys"))
        put(keyOf(entry), {}, true);
    m_changed.notify_all();
    return answer(200, Json::array());
}

HttpResponse RowStore::promote(const HttpRequest& request)
{
    constexpr std::chrono::seconds longerThanTimeLimit { 1 };
    const Json body = Json::parse(request.body);
    const auto upstream = body.at("id").get<std::string>();
    bool isUnanswered = false;
    {
        const std::lock_guard lock(m_mutex);
        m_requestedPromotions.push_back(upstream);
        isUnanswered = m_arePromotionsUnanswered;
    }
    if (isUnanswered) {
        std::this_thread::sleep_for(longerThanTimeLimit);
        return jsonResponse(503, Json::object());
    }
    const bool isDone = m_promote(body.at("service").get<std::string>(), upstream);
    const std::lock_guard lock(m_mutex);
    m_promotions += isDone ? 1 : 0;
    m_isUnavailable |= isDone && std::exchange(m_failsAfterPromotion, false);
    return jsonResponse(isDone ? 200 : 409, Json::object());
}

HttpResponse RowStore::reportUsage(const HttpRequest& request)
{
    const Json body = Json::parse(request.body);
    UsageReport report { header(request, "X-Duty-Holder"), std::stoull(header(request, "X-Fencing-Token")),
        body.at("windowId").get<std::uint64_t>(), body.at("counts") };
    const std::lock_guard lock(m_mutex);
    if (report.token < m_highestUsageToken)
        return jsonResponse(409, Json::object());
    m_highestUsageToken = report.token;
    m_usageReports.push_back(std::move(report));
    return jsonResponse(200, Json::object());
}

}
