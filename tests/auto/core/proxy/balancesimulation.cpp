#include "balancesimulation.h"

#include <algorithm>

using namespace std::chrono_literals;

namespace {

constexpr Model::Duration withinZone = 200us;
constexpr Model::Duration betweenZones = 2800us;
constexpr int connectionsPerUpstream = 6;

}

BalanceSimulation::BalanceSimulation(std::uint64_t seed, int hostsPerZone, int slots)
    : m_random(seed)
    , m_slots(slots)
    , m_configuration(std::make_shared<Directory::Configuration>())
{
    Directory::Route route;
    route.service = "ledger";
    route.kind = Directory::RouteKind::Bounded;
    route.maxStaleness = 1h;
    route.targetLatency = 250ms;
    m_configuration->version = 1;
    m_configuration->routes = { route };
    m_configuration->services.emplace("ledger", Directory::Service { "ledger", 64 });
    m_view.adopt(m_configuration);
    int zoneNumber = 0;
    for (const std::string zone : { "a", "b", "c" }) {
        for (int i = 0; i < hostsPerZone; ++i) {
            auto host = std::make_unique<Host>();
            host->zone = zone;
            host->router = std::make_unique<Proxy::Router>(m_view, host->pool, host->reachability, zone);
            host->router->balanceUpstreams(
                [this](Proxy::BalanceChange change, const std::string& subject, const std::string&) {
                    m_changes.emplace_back(change, subject);
                });
            // The ranks are in no relation to the zones.
            host->router->setHosts(3 * hostsPerZone, 3 * i + zoneNumber);
            m_hosts[zone].push_back(std::move(host));
        }
        ++zoneNumber;
    }
}

BalanceSimulation::Upstream& BalanceSimulation::addUpstream(
    const std::string& id, const std::string& zone, Directory::Role role, Model::Duration coldFor)
{
    Upstream& upstream = m_upstreams[id];
    upstream.entry = { id, "ledger", {}, zone, m_slots, Directory::Availability::Ready, role, coldFor,
        m_now.time_since_epoch().count(), m_order + 1, 0 };
    m_view.setUpstream(upstream.entry);
    for (auto& [hostZone, hosts] : m_hosts) {
        for (auto& host : hosts) {
            host->router->directoryChanged(m_now);
            if (role == Directory::Role::Primary)
                host->router->observePrimaryRole("ledger", id, { 1, 1 }, m_now);
            host->router->observePosition(id, { 1, 1 }, m_now);
            for (int i = 0; i < connectionsPerUpstream; ++i)
                host->pool.add(upstream.entry, "acme", m_now).state = Proxy::ConnectionState::Idle;
        }
    }
    return upstream;
}

void BalanceSimulation::schedule(Model::Duration delay, std::function<void()> act)
{
    m_events.push({ m_now + delay, ++m_order, std::move(act) });
}

std::map<std::string, BalanceSimulation::Counts> BalanceSimulation::run(
    Model::Duration duration, const std::map<std::string, double>& rates)
{
    m_counts.clear();
    m_rates = rates;
    m_end = m_now + duration;
    for (const auto& [zone, rate] : rates) {
        if (!std::exchange(m_arriving[zone], true))
            arrive(zone);
    }
    while (!m_events.empty() && m_events.top().at <= m_end) {
        const Event event = m_events.top();
        m_events.pop();
        m_now = event.at;
        event.act();
    }
    m_now = m_end;
    return m_counts;
}

void BalanceSimulation::arrive(const std::string& zone)
{
    const double pause = std::exponential_distribution<>(m_rates.at(zone))(m_random);
    schedule(std::chrono::duration_cast<Model::Duration>(std::chrono::duration<double>(pause)), [this, zone] {
        auto session = std::make_shared<Proxy::Session>();
        session->id = ++m_lastSession;
        session->customer = "acme";
        session->route = m_configuration->routes.data();
        session->request.emplace();
        session->request->target = Proxy::Target::Fresh;
        session->request->arrivedAt = m_now;
        auto& hosts = m_hosts.at(zone);
        attempt(*hosts[m_random() % hosts.size()], session);
        arrive(zone);
    });
}

void BalanceSimulation::attempt(Host& host, const std::shared_ptr<Proxy::Session>& session)
{
    Proxy::Request& request = *session->request;
    for (const Directory::Upstream* candidate : host.router->candidates(*session, request, m_now)) {
        Proxy::Connection* connection = host.pool.findIdle(candidate->id, "acme");
        if (!connection)
            continue;
        connection->state = Proxy::ConnectionState::InUse;
        ++request.attempts;
        request.upstream = candidate->id;
        host.router->observeSent(candidate->id, m_now);
        Upstream& upstream = m_upstreams.at(candidate->id);
        const Model::Duration trip = candidate->zone == host.zone ? withinZone : betweenZones;
        if (candidate->zone != host.zone)
            ++m_counts[host.zone].leftZone;
        upstream.received.push_back(m_now);
        Proxy::ResultCode code = Proxy::ResultCode::Complete;
        Model::Duration execution {};
        if (upstream.running >= m_slots || happens(upstream.falselyBusy)) {
            code = Proxy::ResultCode::Busy;
        } else {
            const double factor = 0.5 + std::uniform_real_distribution<>(0, 1)(m_random);
            execution = std::chrono::duration_cast<Model::Duration>(upstream.execution * factor);
            code = happens(upstream.failing) ? Proxy::ResultCode::Failed : code;
            ++upstream.running;
            schedule(trip / 2 + execution, [&upstream] { --upstream.running; });
        }
        schedule(trip + execution, [this, &host, session, id = connection->id, code, sentAt = m_now] {
            answered(host, session, id, code, sentAt);
        });
        return;
    }
    if (m_now - request.arrivedAt < 600ms)
        schedule(10ms, [this, &host, session] { attempt(host, session); });
    else
        ++m_counts[host.zone].refused;
}

void BalanceSimulation::answered(Host& host, const std::shared_ptr<Proxy::Session>& session,
    Proxy::ConnectionId connection, Proxy::ResultCode code, Model::Time sentAt)
{
    Proxy::Request& request = *session->request;
    Counts& counts = m_counts[host.zone];
    host.pool.find(connection)->state = Proxy::ConnectionState::Idle;
    host.router->observeRoundTrip(request.upstream, m_now - sentAt, m_now);
    host.router->observeAnswer(request.upstream, sentAt, m_now);
    host.router->observeResult(request.upstream, code, sentAt, m_now);
    request.lastCode = code;
    if (code == Proxy::ResultCode::Complete) {
        ++counts.finished;
        counts.time += m_now - request.arrivedAt;
        return;
    }
    if (request.attempts >= 4) {
        ++counts.refused;
        return;
    }
    ++counts.retries;
    if (code == Proxy::ResultCode::Failed)
        request.excluded.push_back(request.upstream);
    schedule(
        code == Proxy::ResultCode::Busy ? 15ms : 0ms, [this, &host, session] { attempt(host, session); });
}

double BalanceSimulation::receivedRate(const std::string& id, Model::Duration duration) const
{
    const auto count = std::ranges::count_if(
        m_upstreams.at(id).received, [&](Model::Time at) { return at > m_now - duration; });
    return static_cast<double>(count) / std::chrono::duration<double>(duration).count();
}

double BalanceSimulation::shareLeaving(const std::string& zone) const
{
    double sum = 0;
    for (const auto& host : m_hosts.at(zone))
        sum += host->router->balancer()->shareLeaving("ledger");
    return sum / static_cast<double>(m_hosts.at(zone).size());
}
