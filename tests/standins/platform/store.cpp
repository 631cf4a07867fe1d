#include "platform/store.h"

#include <thread>

namespace Standins {

namespace {

    constexpr std::chrono::milliseconds outagePollInterval { 5 };

    /// The part of the path after the prefix; empty if the path does not start with the prefix.
    std::string suffix(const std::string& path, const std::string& prefix)
    {
        return path.starts_with(prefix) ? path.substr(prefix.size()) : std::string();
    }

}

Json Store::Row::toJson() const { return { { "version", version }, { "nonce", nonce }, { "value", value } }; }

HttpResponse Store::handle(const HttpRequest& request)
{
    if (request.path == "/_control")
        return control(request);
    std::unique_lock lock(m_mutex);
    const auto delay = m_delay;
    if (delay.count() > 0) {
        lock.unlock();
        std::this_thread::sleep_for(delay);
        lock.lock();
    }
    while (m_outage == Outage::Hang) {
        lock.unlock();
        std::this_thread::sleep_for(outagePollInterval);
        lock.lock();
    }
    if (m_outage == Outage::Close)
        return lostResponse();
    if (m_outage == Outage::Refuse)
        return jsonResponse(503, { { "error", "unavailable" } });
    return serve(request);
}

HttpResponse Store::serve(const HttpRequest& request)
{
    const bool isPut = request.method == "PUT";
    ++(isPut ? m_writes : m_reads);
    if (const std::string key = suffix(request.path, "/table/"); !key.empty())
        return table(request, key);
    if (const std::string hash = suffix(request.path, "/object/"); !hash.empty())
        return object(request, hash);
    if (const std::string name = suffix(request.path, "/hosts/"); !name.empty())
        return updateHost(request, name);
    if (request.path == "/hosts")
        return hosts();
    return jsonResponse(404, { { "error", "not_found" } });
}

HttpResponse Store::table(const HttpRequest& request, const std::string& key)
{
    const auto found = m_rows.find(key);
    const Row current = found == m_rows.end() ? Row {} : found->second;
    if (request.method != "PUT")
        return jsonResponse(current.version == 0 ? 404 : 200, current.toJson());
    const Json body = Json::parse(request.body);
    if (body.at("version").get<std::uint64_t>() != current.version) {
        ++m_conflicts;
        return jsonResponse(409, current.toJson());
    }
    const Row row { current.version + 1, body.at("nonce").get<std::string>(), body.at("value") };
    m_rows[key] = row;
    if (consumeLoss(key))
        return lostResponse();
    return jsonResponse(200, row.toJson());
}

HttpResponse Store::object(const HttpRequest& request, const std::string& hash)
{
    const auto found = m_objects.find(hash);
    if (request.method != "PUT") {
        if (found == m_objects.end())
            return jsonResponse(404, { { "error", "not_found" } });
        return { 200, found->second };
    }
    if (found != m_objects.end() && found->second != request.body)
        return jsonResponse(409, { { "error", "immutable" } });
    m_objects[hash] = request.body;
    if (consumeLoss(request.path))
        return lostResponse();
    return jsonResponse(200, Json::object());
}

bool Store::consumeLoss(const std::string& key)
{
    if (m_lossesLeft == 0 || !key.starts_with(m_lossPrefix))
        return false;
    --m_lossesLeft;
    ++m_lost;
    return true;
}

HttpResponse Store::hosts() const
{
    const auto visible = Clock::now() - m_hostListDelay;
    const HostListSnapshot* snapshot = &m_hosts.front();
    for (const HostListSnapshot& candidate : m_hosts) {
        if (candidate.since <= visible)
            snapshot = &candidate;
    }
    Json list = Json::array();
    for (const auto& [name, host] : snapshot->hosts)
        list.push_back(host);
    return jsonResponse(200, list);
}

HttpResponse Store::updateHost(const HttpRequest& request, const std::string& name)
{
    HostListSnapshot next { Clock::now(), m_hosts.back().hosts };
    if (request.method == "DELETE") {
        next.hosts.erase(name);
    } else {
        const Json body = Json::parse(request.body);
        next.hosts[name] = { { "name", name }, { "address", body.at("address") }, { "zone", body.at("zone") },
            { "state", body.value("state", "live") } };
    }
    m_hosts.push_back(std::move(next));
    return jsonResponse(200, Json::object());
}

HttpResponse Store::control(const HttpRequest& request)
{
    const std::scoped_lock lock(m_mutex);
    if (request.method != "GET") {
        const Json body = Json::parse(request.body);
        static const std::map<std::string, Outage> outages { { "none", Outage::None },
            { "refuse", Outage::Refuse }, { "close", Outage::Close }, { "hang", Outage::Hang } };
        if (body.contains("outage")) {
            const auto found = outages.find(body["outage"].get<std::string>());
            if (found == outages.end())
                return jsonResponse(400, { { "error", "invalid_request" } });
            m_outage = found->second;
        }
        m_delay = std::chrono::milliseconds(body.value("delayMs", m_delay.count()));
        m_hostListDelay = std::chrono::milliseconds(body.value("hostsLagMs", m_hostListDelay.count()));
        m_lossesLeft = body.value("loseAnswers", m_lossesLeft);
        m_lossPrefix = body.value("loseKeyPrefix", m_lossPrefix);
    }
    Json rows = Json::object();
    for (const auto& [key, row] : m_rows)
        rows[key] = row.toJson();
    return jsonResponse(200,
        { { "rows", rows }, { "objects", m_objects.size() }, { "reads", m_reads }, { "writes", m_writes },
            { "conflicts", m_conflicts }, { "lostAnswers", m_lost } });
}

}
