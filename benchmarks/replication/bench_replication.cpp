#include "core/replication/group.h"
#include "core/replication/timing.h"
#include "scenarios.h"

#include <algorithm>
#include <cstdio>

#include <benchmark/benchmark.h>

using namespace Replication;

namespace {

constexpr std::uint64_t seeds = 100;
constexpr Model::LogPosition firstEntry { 1, 1 };

double milliseconds(Model::Duration duration) { return static_cast<double>(duration.count()) / 1000.0; }

void printFailover(const Deployment& deployment, Mode mode, Fault fault)
{
    std::vector<Model::Duration> gaps;
    FailoverResult total;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const FailoverResult result = runFailover(deployment, mode, fault, seed);
        gaps.push_back(result.writeGap);
        total.floor = result.floor;
        total.acknowledged += result.acknowledged;
        total.lost += result.lost;
        total.unknown += result.unknown;
        total.refused += result.refused;
    }
    std::ranges::sort(gaps);
    std::printf("%-10s %-9s %-8s %9.0f %9.0f %9.0f %8zu %6llu %8llu %8llu\n", deployment.name.c_str(),
        mode == Mode::Proposed ? "proposed" : "baseline", std::string(faultName(fault)).c_str(),
        milliseconds(total.floor), milliseconds(gaps[gaps.size() / 2]), milliseconds(gaps.back()),
        total.acknowledged, static_cast<unsigned long long>(total.lost),
        static_cast<unsigned long long>(total.unknown), static_cast<unsigned long long>(total.refused));
}

void printLag(const Deployment& deployment, Mode mode, Model::Duration lag, std::size_t replicas)
{
    const LagResult result = runLag(deployment, mode, lag, replicas, 1);
    std::printf("%-10s %-9s %8.0f %9zu %12.1f %12.1f %10.1f\n", deployment.name.c_str(),
        mode == Mode::Proposed ? "proposed" : "baseline", milliseconds(lag), replicas,
        milliseconds(result.medianWrite), milliseconds(result.slowestWrite), 100 * result.replicaShare);
}

void printScenarios()
{
    std::printf("Failover, simulated, %llu seeds; times in ms; the bound is %.0f ms\n",
        static_cast<unsigned long long>(seeds), milliseconds(promotionBound));
    std::printf("%-10s %-9s %-8s %9s %9s %9s %8s %6s %8s %8s\n", "deployment", "mode", "fault", "floor",
        "median", "longest", "acked", "lost", "unknown", "refused");
    for (const Deployment& deployment : deployments()) {
        for (const Fault fault : { Fault::Crash, Fault::Freeze, Fault::PrimaryPartitioned, Fault::Planned }) {
            for (const Mode mode : { Mode::Proposed, Mode::Baseline })
                printFailover(deployment, mode, fault);
        }
    }
    std::printf("\nWrite latency and reads by replication delay, simulated; times in ms, share in %%\n");
    std::printf("%-10s %-9s %8s %9s %12s %12s %10s\n", "deployment", "mode", "delay", "replicas", "median",
        "slowest", "replicas");
    for (const Deployment& deployment : deployments()) {
        for (const Model::Duration lag : { 0ms, 5ms, 20ms, 100ms, 500ms }) {
            printLag(deployment, Mode::Proposed, lag, 2);
            printLag(deployment, Mode::Proposed, lag, 1);
            printLag(deployment, Mode::Baseline, lag, 2);
        }
    }
    std::printf("\n");
}

Group healthyGroup(Model::Time now)
{
    Group group({ { "a", "a", 2 }, { "b", "b", 2 }, { "c", "c", 2 } }, now);
    group.observeReport("a", { 1, firstEntry, Role::Primary }, now, now);
    group.observeReport("b", { 1, firstEntry, Role::Replica }, now, now);
    group.observeReport("c", { 1, firstEntry, Role::Replica }, now, now);
    return group;
}

void BM_RouteRead(benchmark::State& state)
{
    const Model::Time now = simulated({});
    const Group group = healthyGroup(now);
    const std::vector<MemberLoad> loads { { 0, true }, { 1, true }, { 1, true } };
    const ReadRequest request { firstEntry, {}, "b", now };
    for (auto _ : state)
        benchmark::DoNotOptimize(group.routeRead(request, loads, now));
}

void BM_RouteWrite(benchmark::State& state)
{
    const Model::Time now = simulated({});
    const Group group = healthyGroup(now);
    for (auto _ : state)
        benchmark::DoNotOptimize(group.routeWrite(now, now));
}

/// Processes one write: its response, the reports of two position polls, and the check whether it is
/// confirmed.
void BM_AcknowledgeWrite(benchmark::State& state)
{
    Model::Time now = simulated({});
    Group group = healthyGroup(now);
    Model::LogPosition entry = firstEntry;
    for (auto _ : state) {
        ++entry.position;
        now += 1ms;
        const Model::LogPosition toConfirm = group.observeWrite("a", 1, entry, now, now);
        group.observeReport("b", { 1, entry, {} }, now, now);
        group.observeReport("c", { 1, entry, {} }, now, now);
        benchmark::DoNotOptimize(group.isConfirmed(toConfirm));
    }
}

/// Simulates one second of an idle group: 50 calls of `nextActions`, and the probes with their reports.
void BM_ProbingSecond(benchmark::State& state)
{
    Model::Time now = simulated({});
    Group group = healthyGroup(now);
    Generator generator(1);
    std::uint64_t probes = 0;
    for (auto _ : state) {
        for (int i = 0; i < 50; ++i) {
            now += 20ms;
            for (const Action& action : group.nextActions(now, generator)) {
                if (const auto* probe = std::get_if<Probe>(&action)) {
                    const Role role = probe->member == "a" ? Role::Primary : Role::Replica;
                    group.observeReport(probe->member, { 1, firstEntry, role }, now, now);
                    ++probes;
                }
            }
        }
    }
    state.counters["probes"]
        = benchmark::Counter(static_cast<double>(probes) / static_cast<double>(state.iterations()));
}

BENCHMARK(BM_RouteRead);
BENCHMARK(BM_RouteWrite);
BENCHMARK(BM_AcknowledgeWrite);
BENCHMARK(BM_ProbingSecond);

}

int main(int argc, char** argv)
{
    printScenarios();
    benchmark::Initialize(&argc, argv);
    benchmark::RunSpecifiedBenchmarks();
    return 0;
}
