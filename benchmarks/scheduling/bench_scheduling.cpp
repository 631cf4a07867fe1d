#include "scenarios.h"

#include "core/scheduling/fairqueue.h"

#include <benchmark/benchmark.h>

using namespace SchedulingSimulation;

namespace {

// Argument: the load of the flooding customer, in eighths of the capacity.
void BM_Flood(benchmark::State& state, Deployment deployment)
{
    FloodResult fair;
    FloodResult arrival;
    for (auto _ : state) {
        fair = flood(deployment, static_cast<int>(state.range(0)), Order::Fair);
        arrival = flood(deployment, static_cast<int>(state.range(0)), Order::Arrival);
    }
    state.counters["worst_percent"] = fair.worstPercent;
    state.counters["worst_percent_arrival"] = arrival.worstPercent;
    state.counters["served"] = static_cast<double>(fair.served);
    state.counters["served_arrival"] = static_cast<double>(arrival.served);
    state.counters["opened"] = static_cast<double>(fair.opened);
}

// Arguments: number of customers, number of queued items of each customer.
void BM_PushPop(benchmark::State& state)
{
    Scheduling::FairQueue queue(1000);
    std::uint64_t id = 0;
    const auto push = [&](std::int64_t customer) {
        (void)queue.push({ ++id, std::to_string(customer), "key", Scheduling::Placement::Primary, "",
                             Model::Time(std::chrono::hours(1)) },
            Model::Time {});
    };
    for (std::int64_t i = 0; i < state.range(0) * state.range(1); ++i)
        push(i % state.range(0));
    for (auto _ : state) {
        const auto item = queue.pop(
            "primary", [](const auto&) { return true; }, Model::Time {});
        push(std::stoll(item->customer));
    }
}

}

BENCHMARK_CAPTURE(BM_Flood, A, deploymentA)->Arg(1)->Arg(2)->Arg(5)->Arg(10)->Iterations(1);
BENCHMARK_CAPTURE(BM_Flood, B, deploymentB)->Arg(1)->Arg(2)->Arg(5)->Arg(10)->Iterations(1);
BENCHMARK(BM_PushPop)->Args({ 8, 1 })->Args({ 8, 100 })->Args({ 64, 1 })->Args({ 64, 100 });

BENCHMARK_MAIN();
