#include "scenarios.h"

#include <benchmark/benchmark.h>

using namespace QuotaSimulation;
using namespace std::chrono_literals;

namespace {

// One-way delay between hosts in the variants A and B of each benchmark.
constexpr Model::Duration delayA = 1500us;
constexpr Model::Duration delayB = 500us;

void report(benchmark::State& state, const Comparison& result)
{
    state.counters["requests"] = static_cast<double>(result.requests);
    state.counters["wrongful"] = static_cast<double>(result.wrongful);
    state.counters["wrongful_even_split"] = static_cast<double>(result.wrongfulEvenSplit);
    state.counters["waited"] = static_cast<double>(result.waited);
}

// Argument: percentage of each customer's requests that arrive at one host.
void BM_SkewedTraffic(benchmark::State& state, Model::Duration delay)
{
    Comparison result;
    for (auto _ : state)
        result = skewedTraffic(delay, static_cast<std::uint64_t>(state.range(0)));
    report(state, result);
}

void BM_HostDies(benchmark::State& state, Model::Duration delay)
{
    Comparison result;
    for (auto _ : state)
        result = hostDies(delay);
    report(state, result);
}

// Arguments: number of hosts; requests per host and second.
void BM_ControlTraffic(benchmark::State& state)
{
    Traffic result;
    for (auto _ : state)
        result = controlTraffic(static_cast<int>(state.range(0)), static_cast<int>(state.range(1)));
    state.counters["messages_per_host_s"] = result.messagesPerHostSecond;
    state.counters["payload_B_per_host_s"] = result.payloadPerHostSecond;
    state.counters["wire_B_per_host_s"] = result.wirePerHostSecond;
    state.counters["requests"] = static_cast<double>(result.requests);
    state.counters["wrongful"] = static_cast<double>(result.wrongful);
    state.counters["waited"] = static_cast<double>(result.waited);
}

}

BENCHMARK_CAPTURE(BM_SkewedTraffic, A, delayA)->Arg(0)->Arg(50)->Arg(90)->Arg(100)->Iterations(1);
BENCHMARK_CAPTURE(BM_SkewedTraffic, B, delayB)->Arg(0)->Arg(50)->Arg(90)->Arg(100)->Iterations(1);
BENCHMARK_CAPTURE(BM_HostDies, A, delayA)->Iterations(1);
BENCHMARK_CAPTURE(BM_HostDies, B, delayB)->Iterations(1);
BENCHMARK(BM_ControlTraffic)
    ->Args({ 9, 400 })
    ->Args({ 9, 2500 })
    ->Args({ 50, 2500 })
    ->Args({ 200, 2500 })
    ->Args({ 810, 2500 })
    ->Args({ 810, 250 })
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

BENCHMARK_MAIN();
