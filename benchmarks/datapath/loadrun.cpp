#include "loadrun.h"

#include "database/upstreamclient.h"
#include "http/connection.h"

#include <algorithm>
#include <fstream>
#include <memory>
#include <sstream>
#include <thread>

#include <nlohmann/json.hpp>
#include <unistd.h>

namespace Datapath {

using Clock = std::chrono::steady_clock;
using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

    constexpr milliseconds requestTimeout(10000);
    constexpr int okStatus = 200;

    Http::Request makeRequest(const LoadSettings& settings, const std::string& address)
    {
        Http::Request request { .method = Http::Method::Post };
        request.timeout = requestTimeout;
        nlohmann::json body { { "sql", settings.sql }, { "write", settings.isWrite } };
        if (settings.target == Target::Host) {
            request.path = "/v1/" + settings.route + "/statement";
            if (!settings.key.empty())
                request.headers.push_back("Authorization: Bearer " + settings.key);
        } else {
            Database::UpstreamClient client(address);
            request.path = "/execute";
            body["term"] = client.open(requestTimeout).value.promisedTerm;
        }
        request.body = body.dump();
        return request;
    }

    /// A connection with its request and the results.
    struct Worker {
        std::unique_ptr<Http::Connection> connection;
        Http::Request request;
        std::vector<microseconds> latencies;
        std::uint64_t failed = 0;

        void send()
        {
            const auto start = Clock::now();
            const Http::Response response = connection->send(request);
            if (response.isAnswered() && response.code == okStatus)
                latencies.push_back(std::chrono::duration_cast<microseconds>(Clock::now() - start));
            else
                ++failed;
        }
    };

    std::vector<Worker> makeWorkers(const LoadSettings& settings, int count)
    {
        std::vector<Http::Request> requests;
        for (const std::string& address : settings.addresses)
            requests.push_back(makeRequest(settings, address));
        std::vector<Worker> workers(static_cast<std::size_t>(count));
        for (std::size_t i = 0; i < workers.size(); ++i) {
            const std::size_t target = i % settings.addresses.size();
            workers[i].connection = std::make_unique<Http::Connection>(settings.addresses[target]);
            workers[i].request = requests[target];
        }
        return workers;
    }

}

LoadResult run(const LoadSettings& settings, const std::function<void()>& whileOpen)
{
    std::vector<Worker> idle = makeWorkers(settings, settings.idleConnections);
    for (Worker& worker : idle)
        worker.send();
    std::vector<Worker> active = makeWorkers(settings, settings.connections);
    const auto start = Clock::now();
    std::vector<std::thread> threads;
    threads.reserve(active.size());
    for (Worker& worker : active) {
        threads.emplace_back([&worker, &settings] {
            for (int i = 0; i < settings.requestsPerConnection; ++i)
                worker.send();
        });
    }
    for (std::thread& thread : threads)
        thread.join();
    const std::chrono::duration<double> elapsed = Clock::now() - start;
    whileOpen();
    LoadResult result;
    std::vector<microseconds> latencies;
    for (const Worker& worker : active) {
        latencies.insert(latencies.end(), worker.latencies.begin(), worker.latencies.end());
        result.failed += worker.failed;
    }
    for (const Worker& worker : idle)
        result.failed += worker.failed;
    std::ranges::sort(latencies);
    result.done = latencies.size();
    result.requestsPerSecond = static_cast<double>(latencies.size()) / elapsed.count();
    if (!latencies.empty()) {
        result.median = latencies[latencies.size() / 2];
        result.percentile99 = latencies[latencies.size() * 99 / 100];
    }
    return result;
}

long processStatus(int pid, const std::string& field)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/status");
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with(field + ":"))
            return std::stol(line.substr(field.size() + 1));
    }
    return -1;
}

milliseconds processTime(int pid)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
    std::stringstream content;
    content << file.rdbuf();
    // The process name in parentheses may contain spaces, so the fields are counted from the one after it:
    // field 3, the state. Fields 14 and 15 are the user and system time, in clock ticks.
    std::istringstream fields(content.str().substr(content.str().rfind(')') + 1));
    std::string skipped;
    for (int field = 3; field < 14; ++field)
        fields >> skipped;
    long user = 0;
    long system = 0;
    fields >> user >> system;
    return milliseconds((user + system) * 1000 / sysconf(_SC_CLK_TCK));
}

}
