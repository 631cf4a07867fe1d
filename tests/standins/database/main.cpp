#include "common/program.h"
#include "database/member.h"

#include <tclap/CmdLine.h>

using namespace Standins;

namespace {

MemberOptions parseOptions(int argc, char** argv)
{
    TCLAP::CmdLine command("Stand-in for one member of a database group");
    using Text = TCLAP::ValueArg<std::string>;
    using Number = TCLAP::ValueArg<int>;
    Text address("", "address", "address to listen on", true, "", "IP:PORT", command);
    Text name("", "name", "name reported in the status", false, "database", "NAME", command);
    Text primary("", "initial-primary", "address of the initial primary", false, "", "IP:PORT", command);
    TCLAP::MultiArg<std::string> peers("", "peer", "address of another member", false, "IP:PORT", command);
    Number limit("", "limit", "maximum number of open connections", false, 15, "COUNT", command);
    Number slots("", "slots", "number of statements that execute concurrently", false, 2, "COUNT", command);
    Number setup("", "setup-ms", "time that opening a connection takes", false, 10, "MS", command);
    Number service("", "service-ms", "execution time of a statement", false, 0, "MS", command);
    Number lag("", "lag-ms", "replication lag of this member", false, 0, "MS", command);
    Number retention("", "retention-ms", "retention time of request ids", false, 600000, "MS", command);
    command.parse(argc, argv);
    return { name.getValue(), address.getValue(), primary.getValue(), peers.getValue(),
        static_cast<std::size_t>(limit.getValue()), slots.getValue(), setup.getValue(), service.getValue(),
        lag.getValue(), retention.getValue() };
}

}

int main(int argc, char** argv)
{
    blockTerminationSignals();
    const MemberOptions options = parseOptions(argc, argv);
    const Settings::Address address = parseListenAddress(options.address);
    Member member(options);
    const HttpServer server(address.ip, address.port,
        { [&member](const HttpRequest& request) { return member.handle(request); },
            [&member](ConnectionId connection) { member.connectionClosed(connection); } });
    std::thread([&member] { member.replicate(); }).detach();
    endProcess(serveUntilTerminated(server, address.ip));
}
