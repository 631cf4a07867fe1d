#include "scenarios.h"

#include <algorithm>
#include <array>
#include <deque>
#include <map>

namespace QuotaSimulation {

namespace {

    using namespace std::chrono_literals;

    constexpr int currentHosts = 9;
    constexpr std::uint64_t loadPercent = 80;
    constexpr std::uint64_t seed = 7;
    // Requests per second of eight customers, a few of them large. The burst is that of one second, and at
    // least ten requests.
    constexpr std::array<std::uint64_t, 8> currentRates { 1000, 800, 600, 100, 50, 20, 10, 5 };
    // Each customer's share of the requests in `controlTraffic`, at the size the system is designed for, in
    // permille.
    constexpr std::array<std::uint64_t, 8> designShares { 400, 250, 150, 100, 50, 30, 15, 5 };

    std::string customerName(std::size_t index) { return "customer" + std::to_string(index); }

    // The baseline: the rate is divided evenly over the hosts. Requests wait for as long as in the fleet.
    class EvenSplit {
    public:
        void setLimits(int hosts, const std::string& customer, const Quota::Limits& limits)
        {
            for (int i = 0; i < hosts; ++i)
                m_buckets.insert_or_assign({ i, customer }, Bucket(limits, 1.0 / hosts));
            m_ideal.insert_or_assign(customer, Bucket(limits));
        }

        void request(int host, const std::string& customer, Model::Time now)
        {
            const bool isWithinLimits = m_ideal.at(customer).admit(now);
            m_waiting[{ host, customer }].push_back({ now, isWithinLimits });
        }

        void advance(Model::Time now)
        {
            for (auto& [key, queue] : m_waiting) {
                while (!queue.empty() && m_buckets.at(key).admit(now))
                    queue.pop_front();
                for (; !queue.empty() && now - queue.front().since >= Quota::TokenCache::maxWait;
                     queue.pop_front())
                    m_wrongful += queue.front().isWithinLimits ? 1 : 0;
            }
        }

        std::uint64_t wrongful() const { return m_wrongful; }
        void reset() { m_wrongful = 0; }

    private:
        struct Waiting {
            Model::Time since;
            bool isWithinLimits;
        };

        std::map<std::pair<int, std::string>, Bucket> m_buckets;
        std::map<std::pair<int, std::string>, std::deque<Waiting>> m_waiting;
        std::map<std::string, Bucket> m_ideal;
        std::uint64_t m_wrongful = 0;
    };

    // Sends the same random arrivals, at `loadPercent` of each rate, to the fleet and to the baseline.
    class Load {
    public:
        Load(Model::Duration delay, std::uint64_t skewPercent)
            : m_skewPercent(skewPercent)
            , m_fleet({ .hosts = currentHosts, .delay = delay, .seed = seed })
        {
            for (std::size_t i = 0; i < currentRates.size(); ++i) {
                const Quota::Limits limits { currentRates[i], std::max<std::uint64_t>(currentRates[i], 10) };
                m_fleet.setLimits(customerName(i), limits);
                m_evenSplit.setLimits(currentHosts, customerName(i), limits);
            }
            m_fleet.advance(10s);
            run(3s);
            m_fleet.resetCounters();
            m_evenSplit.reset();
            m_requests = 0;
        }

        void run(Model::Duration period)
        {
            const Model::Time end = m_fleet.now() + period;
            while (m_fleet.now() < end) {
                m_fleet.advance(1ms);
                m_evenSplit.advance(m_fleet.now());
                for (std::size_t i = 0; i < currentRates.size(); ++i) {
                    const double perStep = static_cast<double>(currentRates[i] * loadPercent) / 100 / 1000;
                    for (int n = std::poisson_distribution<int>(perStep)(m_generator); n > 0; --n)
                        request(i);
                }
            }
        }

        Fleet& fleet() { return m_fleet; }

        Comparison result() const
        {
            return { m_requests, m_fleet.counters().refusedWrongly, m_evenSplit.wrongful(),
                m_fleet.counters().waited };
        }

    private:
        void request(std::size_t customer)
        {
            int host = static_cast<int>(customer % currentHosts);
            if (m_generator() % 100 >= m_skewPercent)
                host = static_cast<int>(m_generator() % currentHosts);
            // Callers of a dead host fail over to another host.
            while (!m_fleet.isAlive(host))
                host = static_cast<int>(m_generator() % currentHosts);
            ++m_requests;
            m_fleet.request(host, customerName(customer));
            m_evenSplit.request(host, customerName(customer), m_fleet.now());
        }

        std::uint64_t m_skewPercent;
        std::mt19937_64 m_generator { seed };
        Fleet m_fleet;
        EvenSplit m_evenSplit;
        std::uint64_t m_requests = 0;
    };

}

Comparison skewedTraffic(Model::Duration delay, std::uint64_t skewPercent)
{
    Load load(delay, skewPercent);
    load.run(10s);
    return load.result();
}

Comparison hostDies(Model::Duration delay)
{
    Load load(delay, 0);
    load.fleet().kill(4);
    load.run(35s);
    load.fleet().takeOver();
    load.run(10s);
    return load.result();
}

Traffic controlTraffic(int hosts, int requestsPerHostSecond)
{
    constexpr auto period = 4s;
    std::mt19937_64 generator(seed);
    Fleet fleet({ .hosts = hosts, .seed = seed });
    std::vector<std::string> customers;
    std::vector<double> perStep;
    for (std::size_t i = 0; i < designShares.size(); ++i) {
        const double demand = static_cast<double>(designShares[i]) / 1000 * hosts * requestsPerHostSecond;
        const auto rate = static_cast<std::uint64_t>(demand * 100 / loadPercent);
        customers.push_back(customerName(i));
        perStep.push_back(demand / 1000);
        fleet.setLimits(customers.back(), { rate, std::max<std::uint64_t>(rate, 10) });
    }
    fleet.advance(10s);
    const auto run = [&](Model::Duration duration) {
        const Model::Time end = fleet.now() + duration;
        while (fleet.now() < end) {
            fleet.advance(1ms);
            for (std::size_t i = 0; i < customers.size(); ++i) {
                for (int n = std::poisson_distribution<int>(perStep[i])(generator); n > 0; --n)
                    fleet.request(
                        static_cast<int>(generator() % static_cast<std::uint64_t>(hosts)), customers[i]);
            }
        }
    };
    run(2s);
    fleet.resetCounters();
    run(period);
    const Counters& counters = fleet.counters();
    const double hostSeconds = hosts * std::chrono::duration<double>(period).count();
    return { static_cast<double>(counters.messages) / hostSeconds,
        static_cast<double>(counters.payloadBytes) / hostSeconds,
        static_cast<double>(counters.wireBytes) / hostSeconds, counters.admitted + counters.refused,
        counters.refusedWrongly, counters.waited };
}

}
