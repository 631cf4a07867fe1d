#include "common/program.h"
#include "faultproxy/link.h"

#include <thread>

#include <tclap/CmdLine.h>

using namespace Standins;

namespace {

using Links = std::vector<std::unique_ptr<Link>>;

/// Parses `NAME=LISTEN=TARGET` and opens the listening socket. Ends the process with an error message on
/// failure.
std::unique_ptr<Link> parseLink(const std::string& text)
{
    const std::size_t first = text.find('=');
    const std::size_t second = text.find('=', first + 1);
    if (first == std::string::npos || second == std::string::npos) {
        std::fprintf(stderr, "not a link of the form NAME=IP:PORT=IP:PORT: %s\n", text.c_str());
        endProcess(false);
    }
    auto link = std::make_unique<Link>(text.substr(0, first),
        parseListenAddress(text.substr(first + 1, second - first - 1)),
        parseListenAddress(text.substr(second + 1)));
    if (!link->isListening()) {
        std::fprintf(stderr, "cannot listen for link %s\n", text.c_str());
        endProcess(false);
    }
    return link;
}

/// `POST /_control` sets the faults of the link named by `link`, or of all links:
/// - `cutToTarget`, `cutToClient`: data in this direction is blocked until the field is set to false;
/// - `freezeExisting`: existing connections stay open, but their data is discarded;
/// - `resetExisting`: existing connections are closed;
/// - `delayMs`: data is forwarded with this delay, in milliseconds;
/// - `loseAnswers`: the next N responses are discarded and their connections closed, although the requests
///   were delivered;
/// - `holdAnswers`: the next N responses are held until all N have arrived, then forwarded in reverse order;
/// - `match`: `loseAnswers` and `holdAnswers` apply only to requests that contain this text.
///
/// `GET` changes no faults. Both methods respond with the state of the links, or with 404 if `link` is
/// unknown.
HttpResponse control(const Links& links, const HttpRequest& request)
{
    const Json body = request.method == "GET" ? Json::object() : Json::parse(request.body);
    const auto name = body.value("link", std::string());
    Json answer = Json::object();
    for (const auto& link : links) {
        if (name.empty() || name == link->name()) {
            link->configure(body);
            answer[link->name()] = link->state();
        }
    }
    return jsonResponse(answer.empty() ? 404 : 200, answer);
}

}

int main(int argc, char** argv)
{
    TCLAP::CmdLine command("Forwards TCP connections and injects faults");
    TCLAP::ValueArg<std::string> controlOption(
        "", "control", "address of the control port", false, "127.0.0.1:0", "IP:PORT", command);
    TCLAP::MultiArg<std::string> linkOption(
        "", "link", "name, listening address and target address", true, "NAME=IP:PORT=IP:PORT", command);
    command.parse(argc, argv);

    blockTerminationSignals();
    Links links;
    for (const std::string& text : linkOption.getValue()) {
        links.push_back(parseLink(text));
        std::printf("link %s 127.0.0.1:%d\n", links.back()->name().c_str(), links.back()->port());
        std::thread([link = links.back().get()] { link->run(); }).detach();
    }
    const Settings::Address address = parseListenAddress(controlOption.getValue());
    const HttpServer server(address.ip, address.port,
        { [&links](const HttpRequest& request) { return control(links, request); }, nullptr });
    endProcess(serveUntilTerminated(server, address.ip));
}
