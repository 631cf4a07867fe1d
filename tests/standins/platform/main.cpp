#include "common/program.h"
#include "platform/store.h"

#include <tclap/CmdLine.h>

using namespace Standins;

int main(int argc, char** argv)
{
    TCLAP::CmdLine command("Stand-in for the platform's table service, object store and list of hosts");
    TCLAP::ValueArg<std::string> addressOption(
        "", "address", "address to listen on", false, "127.0.0.1:0", "IP:PORT", command);
    command.parse(argc, argv);

    blockTerminationSignals();
    const Settings::Address address = parseListenAddress(addressOption.getValue());
    Store store;
    const HttpServer server(address.ip, address.port,
        { [&store](const HttpRequest& request) { return store.handle(request); }, nullptr });
    endProcess(serveUntilTerminated(server, address.ip));
}
