#include "../seeds.h"
#include "core/quota/leasewatch.h"
#include "core/quota/slotassignment.h"

#include <algorithm>
#include <array>

using namespace Quota;
using Model::Duration;
using Model::Time;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t hostCount = 4;
constexpr int slots = 12;

struct Lease {
    std::uint64_t incarnation = 0;
    std::uint64_t counter = 0;
};

struct Process {
    std::uint64_t incarnation = 1;
    Duration clockOffset {};
    Time pausedUntil;
    bool isAlive = true;
    bool isDraining = false;
    std::optional<Time> renewalStarted;
    Time nextRenewal;
    LeaseWatch watch;
    std::array<bool, slots> served {};
};

// Hosts with clocks of their own, which renew leases in a store that is down at times, whose answers may be
// lost after the change took effect, and which pause, end and start again.
class AssignmentSimulation {
public:
    explicit AssignmentSimulation(std::mt19937_64& generator)
        : m_generator(generator)
    {
        for (std::size_t i = 0; i < hostCount; ++i)
            m_processes[i].clockOffset = std::chrono::seconds(below(5000, generator));
        for (int slot = 0; slot < slots; ++slot)
            m_rows[static_cast<std::size_t>(slot)].slot = slot;
    }

    void run()
    {
        for (int step = 0; step < 250 && !testing::Test::HasFailure(); ++step) {
            causeFaults();
            advance();
        }
        // Afterwards all is well for long enough: every slot is served by a live host.
        m_isCalm = true;
        m_storeDownUntil = {};
        for (Process& process : m_processes) {
            process.pausedUntil = {};
            process.isAlive = process.isAlive || onceIn(2, m_generator);
            process.isDraining = process.isDraining && process.isAlive;
        }
        m_processes[0].isAlive = true;
        m_processes[0].isDraining = false;
        for (int step = 0; step < 100; ++step)
            advance();
        for (int slot = 0; slot < slots; ++slot)
            EXPECT_EQ(servers(slot), 1) << "slot " << slot;
    }

private:
    Holder self(std::size_t i) const { return { "host" + std::to_string(i), m_processes[i].incarnation }; }
    Time localTime(const Process& process) const { return m_now + process.clockOffset; }
    bool isStoreUp() const { return m_now >= m_storeDownUntil; }
    LeaseState lease(const Process& process) const
    {
        return { process.renewalStarted, m_lastStoreSuccess + process.clockOffset };
    }
    StoreContact contact() const { return isStoreUp() ? StoreContact::Connected : StoreContact::Outage; }

    void causeFaults()
    {
        Process& process = m_processes[below(hostCount, m_generator)];
        if (onceIn(15, m_generator))
            process.pausedUntil = m_now + std::chrono::seconds(below(60, m_generator));
        if (onceIn(40, m_generator))
            m_storeDownUntil = m_now + std::chrono::seconds(below(50, m_generator));
        if (onceIn(30, m_generator))
            process.isAlive = false;
        if (onceIn(30, m_generator))
            process.isDraining = true;
        if (onceIn(15, m_generator)) {
            const Process old = process;
            process = {};
            process.incarnation = old.incarnation + 1;
            process.clockOffset = old.clockOffset;
        }
    }

    void advance()
    {
        m_now += 1s;
        if (isStoreUp())
            m_lastStoreSuccess = m_now;
        for (std::size_t i = 0; i < hostCount; ++i) {
            if (m_processes[i].isAlive && m_now >= m_processes[i].pausedUntil)
                act(i);
        }
        for (int slot = 0; slot < slots; ++slot)
            EXPECT_LE(servers(slot), 1) << "slot " << slot << " has two holders";
    }

    void act(std::size_t i)
    {
        Process& process = m_processes[i];
        const Time now = localTime(process);
        if (!isStoreUp()) {
            process.watch.interrupt();
            return;
        }
        if (now >= process.nextRenewal) {
            m_leases[i] = { process.incarnation, m_leases[i].counter + 1 };
            // The answer of one in four is lost.
            if (m_isCalm || !onceIn(4, m_generator))
                process.renewalStarted = now;
            process.nextRenewal = now + 10s;
        }
        for (std::size_t other = 0; other < hostCount; ++other) {
            const Holder holder { "host" + std::to_string(other), m_leases[other].incarnation };
            if (other != i && holder.incarnation > 0 && !onceIn(5, m_generator))
                process.watch.observe(holder, m_leases[other].counter, now);
        }
        SlotAssignment::Situation situation { contact(),
            process.isDraining ? SlotAssignment::HostState::Draining : SlotAssignment::HostState::Serving,
            lease(process), {}, process.watch.expired(now) };
        for (std::size_t other = 0; other < hostCount; ++other)
            situation.hosts.push_back(known(other));
        if (!onceIn(3, m_generator))
            readRows(i);
        for (const SlotChange& change : SlotAssignment(self(i)).decide(situation, m_read[i], now))
            apply(i, change);
    }

    void readRows(std::size_t i)
    {
        m_read[i] = m_rows;
        for (std::size_t slot = 0; slot < slots; ++slot)
            m_processes[i].served[slot] = m_rows[slot].holder == self(i);
    }

    KnownHost known(std::size_t i) const
    {
        const Process& process = m_processes[i];
        const bool isDead = !process.isAlive || m_now < process.pausedUntil;
        const auto state = isDead ? KnownHost::State::Dead
            : process.isDraining  ? KnownHost::State::Leaving
                                  : KnownHost::State::Alive;
        return { self(i).host, process.incarnation, state };
    }

    void apply(std::size_t i, const SlotChange& change)
    {
        const auto slot = static_cast<std::size_t>(change.slot);
        SlotRow& row = m_rows[slot];
        const bool takes = change.kind == SlotChange::Kind::Take;
        if (!takes)
            m_processes[i].served[slot] = false;
        if (row.epoch != change.epoch)
            return;
        row = { change.slot, takes ? self(i) : Holder {}, row.epoch + 1 };
        m_processes[i].served[slot] = takes;
    }

    int servers(int slot) const
    {
        return static_cast<int>(std::ranges::count_if(m_processes, [&](const Process& process) {
            return process.isAlive && process.served[static_cast<std::size_t>(slot)]
                && mayServeSlots({ process.renewalStarted, m_lastStoreSuccess + process.clockOffset },
                    contact(), localTime(process));
        }));
    }

    std::mt19937_64& m_generator;
    std::array<Process, hostCount> m_processes;
    std::array<Lease, hostCount> m_leases;
    std::array<SlotRow, slots> m_rows;
    std::array<std::array<SlotRow, slots>, hostCount> m_read;
    Time m_now { 10h };
    Time m_storeDownUntil;
    Time m_lastStoreSuccess;
    bool m_isCalm = false;
};

}

// Guards against two hosts that serve a slot at once, which would admit twice its rate, and against slots
// that nobody takes, which would refuse requests within the rate.
TEST(SlotAssignment, OneHolderAtATimeAndAlwaysOneInTheEnd)
{
    forEachSeed(1000, [](std::mt19937_64& generator) { AssignmentSimulation(generator).run(); });
}
