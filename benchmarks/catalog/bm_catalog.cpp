#include "core/catalog/adoption.h"
#include "core/catalog/check.h"
#include "core/catalog/keyhasher.h"
#include "core/catalog/parsedocument.h"
#include "crypto/base64url.h"
#include "crypto/digest.h"

#include <benchmark/benchmark.h>
#include <malloc.h>

using namespace Catalog;

namespace {

constexpr int designServices = 467;
// The design does not specify this number.
constexpr int customersPerRoute = 20;

std::string keyHash(int number) { return Crypto::toBase64Url(Crypto::sha256(std::to_string(number))); }

/// Returns a document of `services` services. The design size is 467 services with about 1,400 upstreams,
/// 2,000 customers and 4,000 keys, in 7 zones of 2 regions.
Document documentOfSize(int services)
{
    constexpr int zoneCount = 7;
    Document document;
    for (int i = 0; i < zoneCount; ++i)
        document.zones.push_back({ "zone-" + std::to_string(i), i < 4 ? "north" : "south" });
    const int customers = services * 2000 / designServices;
    for (int i = 0; i < customers; ++i) {
        const std::string name = "customer-" + std::to_string(i);
        document.customers.push_back({ name, 1000, 500, 1 });
        for (int j = 0; j < 2; ++j)
            document.keys.push_back({ name + "-key-" + std::to_string(j), name, keyHash(2 * i + j) });
    }
    for (int i = 0; i < services; ++i) {
        Service service { "service-" + std::to_string(i), {} };
        Route route { "route-" + std::to_string(i), service.name, {} };
        for (int j = 0; j < 3; ++j) {
            const std::string address
                = "10." + std::to_string(j) + "." + std::to_string(i / 250) + "." + std::to_string(i % 250);
            service.upstreams.push_back(service.name + "-" + std::to_string(j));
            document.upstreams.push_back({ service.upstreams.back(), address + ":7000",
                "zone-" + std::to_string((i + j) % zoneCount), 2, 15 });
        }
        for (int j = 0; j < customersPerRoute && j < customers; ++j)
            route.customers.push_back("customer-" + std::to_string((i * 4 + j) % customers));
        document.services.push_back(std::move(service));
        document.routes.push_back(std::move(route));
    }
    normalize(document);
    return document;
}

/// Returns the document with one more key.
Document withKey(Document document, const std::string& name)
{
    document.keys.push_back({ name, "customer-0", keyHash(static_cast<int>(document.keys.size())) });
    normalize(document);
    return document;
}

Version versionOfSize(int services)
{
    return { 1, {}, "0123456789abcdef0123456789abcdef", documentOfSize(services) };
}

/// Returns the encoded size of a protobuf string field: tag, length and text.
std::size_t fieldBytes(std::size_t textBytes)
{
    constexpr std::size_t lengthBits = 7;
    std::size_t lengthBytes = 1;
    for (std::size_t rest = textBytes >> lengthBits; rest > 0; rest >>= lengthBits)
        ++lengthBytes;
    return 1 + lengthBytes + textBytes;
}

/// Returns the size of the protobuf message in which hosts send the delta, in bytes.
std::size_t wireBytes(const Delta& delta)
{
    constexpr std::size_t versionBytes = 8;
    std::size_t bytes = versionBytes + fieldBytes(delta.hash.size()) + fieldBytes(delta.previousHash.size())
        + fieldBytes(delta.nonce.size());
    for (const std::string& object : delta.changed)
        bytes += fieldBytes(object.size());
    for (const std::string& id : delta.removed)
        bytes += fieldBytes(id.size());
    return bytes;
}

/// Runs a benchmark at 1/8, 1/4, 1/2 and the whole of the design size.
void sizes(benchmark::internal::Benchmark* benchmark)
{
    for (const int divisor : { 8, 4, 2, 1 })
        benchmark->Arg(designServices / divisor);
    benchmark->Unit(benchmark::kMillisecond);
}

void parse(benchmark::State& state)
{
    const std::string text = canonicalText(documentOfSize(static_cast<int>(state.range(0))));
    for (auto _ : state)
        benchmark::DoNotOptimize(parseDocument(text));
    state.counters["textBytes"] = static_cast<double>(text.size());
}
BENCHMARK(parse)->Apply(sizes);

void checkDocument(benchmark::State& state)
{
    const Document document = documentOfSize(static_cast<int>(state.range(0)));
    for (auto _ : state)
        benchmark::DoNotOptimize(check(document));
}
BENCHMARK(checkDocument)->Apply(sizes);

void buildSnapshot(benchmark::State& state)
{
    const Version version = versionOfSize(static_cast<int>(state.range(0)));
    const std::size_t before = mallinfo2().uordblks;
    const SnapshotPointer snapshot = Snapshot::create(version);
    state.counters["heapBytes"] = static_cast<double>(mallinfo2().uordblks - before);
    for (auto _ : state)
        benchmark::DoNotOptimize(Snapshot::create(version));
}
BENCHMARK(buildSnapshot)->Apply(sizes);

/// Adopts the delta for one granted key, as a host does that receives it from a peer.
void adoptDelta(benchmark::State& state)
{
    const Version first = versionOfSize(static_cast<int>(state.range(0)));
    const SnapshotPointer base = Snapshot::create(first);
    const Document next = withKey(first.document, "new-key");
    const SnapshotPointer target = Snapshot::create({ 2, base->hash(), first.nonce, next });
    const Delta whole = makeWholeDelta(*base);
    const Delta delta = makeDelta(1, *target, changedObjects(first.document, next));
    for (auto _ : state) {
        state.PauseTiming();
        Adoption adoption;
        (void)adoption.offerDelta(whole, {});
        state.ResumeTiming();
        if (!adoption.offerDelta(delta, {}))
            state.SkipWithError("the delta for one granted key was rejected");
    }
    state.counters["deltaBytes"] = static_cast<double>(wireBytes(delta));
    state.counters["wholeBytes"] = static_cast<double>(wireBytes(whole));
}
BENCHMARK(adoptDelta)->Apply(sizes);

void makeDeltaFromHistory(benchmark::State& state)
{
    Adoption adoption;
    const Version first = versionOfSize(static_cast<int>(state.range(0)));
    (void)adoption.offerDelta(makeWholeDelta(*Snapshot::create(first)), {});
    for (std::size_t i = 0; i < History::maxEntries - 1; ++i) {
        const SnapshotPointer current = adoption.current();
        const Document next = withKey(current->document(), "new-key-" + std::to_string(i));
        (void)adoption.offerDelta(
            makeWholeDelta(*Snapshot::create({ current->version() + 1, current->hash(), "n", next })), {});
    }
    for (auto _ : state)
        benchmark::DoNotOptimize(adoption.history().deltaFrom(1));
    state.counters["deltaBytes"] = static_cast<double>(wireBytes(*adoption.history().deltaFrom(1)));
}
BENCHMARK(makeDeltaFromHistory)->Apply(sizes);

/// Looks up the key, the route and the permission, as for each request of a caller, but without the HMAC of
/// the key.
void lookUp(benchmark::State& state)
{
    const SnapshotPointer snapshot = Snapshot::create(versionOfSize(static_cast<int>(state.range(0))));
    std::size_t i = 0;
    for (auto _ : state) {
        const Key& key = snapshot->document().keys[i % snapshot->document().keys.size()];
        const Route& route = snapshot->document().routes[i % snapshot->document().routes.size()];
        i += 7919;
        const KeyEntry* entry = snapshot->findActiveKey(key.hash);
        benchmark::DoNotOptimize(snapshot->findRoute(route.name)->allows(entry->customer->name));
    }
}
BENCHMARK(lookUp)->Arg(designServices / 8)->Arg(designServices);

void hashKey(benchmark::State& state)
{
    const KeyHasher hasher("a fleet secret of at least 32 characters");
    const std::string key(43, 'k');
    for (auto _ : state)
        benchmark::DoNotOptimize(hasher.hash(key));
}
BENCHMARK(hashKey);

}

BENCHMARK_MAIN();
