#include "loadrun.h"

#include <iostream>

#include <nlohmann/json.hpp>
#include <tclap/CmdLine.h>

using namespace Datapath;

namespace {

struct Arguments {
    LoadSettings load;
    std::vector<int> processes;
};

Arguments parseArguments(int argc, char** argv)
{
    TCLAP::CmdLine line("Measures the data path with requests to hosts or directly to database stand-ins");
    TCLAP::MultiArg<std::string> address(
        "a", "address", "target; several targets are used in turn", true, "IP:PORT", line);
    TCLAP::SwitchArg direct("d", "database", "the targets are database stand-ins", line);
    TCLAP::ValueArg<std::string> route("r", "route", "route", false, "public", "NAME", line);
    TCLAP::ValueArg<std::string> key("k", "key", "caller's key", false, "", "KEY", line);
    TCLAP::ValueArg<std::string> sql("s", "sql", "statement", false, "GET k", "TEXT", line);
    TCLAP::SwitchArg write("w", "write", "the statement writes", line);
    TCLAP::ValueArg<int> connections(
        "c", "connections", "connections that send requests", false, 1, "COUNT", line);
    TCLAP::ValueArg<int> idle("i", "idle", "additional idle connections", false, 0, "COUNT", line);
    TCLAP::ValueArg<int> requests("n", "requests", "requests per connection", false, 1000, "COUNT", line);
    TCLAP::MultiArg<int> process(
        "p", "process", "process whose CPU time, memory and threads are reported", false, "PID", line);
    line.parse(argc, argv);
    Arguments arguments;
    arguments.load.target = direct.getValue() ? Target::Database : Target::Host;
    arguments.load.addresses = address.getValue();
    arguments.load.route = route.getValue();
    arguments.load.key = key.getValue();
    arguments.load.sql = sql.getValue();
    arguments.load.isWrite = write.getValue();
    arguments.load.connections = connections.getValue();
    arguments.load.idleConnections = idle.getValue();
    arguments.load.requestsPerConnection = requests.getValue();
    arguments.processes = process.getValue();
    return arguments;
}

}

int main(int argc, char** argv)
{
    try {
        const Arguments arguments = parseArguments(argc, argv);
        std::vector<std::chrono::milliseconds> before;
        for (const int pid : arguments.processes)
            before.push_back(processTime(pid));
        nlohmann::ordered_json processes = nlohmann::ordered_json::array();
        const LoadResult result = run(arguments.load, [&] {
            for (std::size_t i = 0; i < arguments.processes.size(); ++i) {
                const int pid = arguments.processes[i];
                processes.push_back({ { "pid", pid }, { "threads", processStatus(pid, "Threads") },
                    { "rssKib", processStatus(pid, "VmRSS") },
                    { "cpuMs", (processTime(pid) - before[i]).count() } });
            }
        });
        const nlohmann::ordered_json report { { "done", result.done }, { "failed", result.failed },
            { "requestsPerSecond", static_cast<std::int64_t>(result.requestsPerSecond) },
            { "medianUs", result.median.count() }, { "p99Us", result.percentile99.count() },
            { "processes", processes } };
        std::cout << report.dump() << '\n';
        return result.failed == 0 ? 0 : 1;
    } catch (const TCLAP::ArgException& error) {
        std::cerr << error.error() << ": " << error.argId() << '\n';
        return 2;
    }
}
