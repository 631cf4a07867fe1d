#include "parsleytack/run.h"

#include "crypto/base64url.h"
#include "crypto/randombytes.h"
#include "parsleytack/operatorclient.h"
#include "parsleytack/output.h"

#include <fstream>
#include <istream>
#include <iterator>
#include <ostream>

namespace Tool {

namespace {

    using Http::Method;
    using Json = nlohmann::ordered_json;

    constexpr std::size_t nonceBytes = 16;
    constexpr int jsonIndent = 2;

    /// Runs one command: sends its request and writes the response.
    class Runner {
    public:
        Runner(const Arguments& arguments, Streams streams)
            : m_arguments(arguments)
            , m_streams(streams)
            , m_client(arguments.server, arguments.secret, arguments.timeout)
        {
        }

        ExitCode run()
        {
            switch (m_arguments.command) {
            case Command::Apply:
                return apply();
            case Command::Check:
                return check();
            case Command::Get:
                return finish(m_client.read(Method::Get, "/v1/document"), &Runner::writeDocument);
            case Command::History:
                return finish(m_client.read(Method::Get, "/v1/history"), &Runner::writeHistory);
            case Command::Status:
                return finish(m_client.read(Method::Get, "/v1/status"), &Runner::writeStatus);
            case Command::ZoneOut:
            case Command::ZoneIn:
                return changeZone();
            case Command::KeyGrant:
                return grantKey();
            case Command::KeyWithdraw:
                return finish(m_client.change(Method::Put, "/v1/keys/" + name(0) + "/withdrawn"),
                    &Runner::writeVersion);
            }
            return ExitCode::Usage;
        }

    private:
        using Writer = void (Runner::*)(const Json&);

        std::string name(std::size_t index) const { return encodeForUrl(m_arguments.names[index]); }

        std::optional<std::string> readFile()
        {
            std::ifstream file;
            if (m_arguments.file != "-")
                file.open(m_arguments.file, std::ios::binary);
            std::istream& source = m_arguments.file == "-" ? m_streams.in : file;
            std::string content { std::istreambuf_iterator<char>(source), {} };
            if (source.bad() || (m_arguments.file != "-" && !file.is_open())) {
                m_streams.err << "cannot read " << m_arguments.file << '\n';
                return std::nullopt;
            }
            return content;
        }

        ExitCode check()
        {
            const std::optional<std::string> document = readFile();
            if (!document)
                return ExitCode::Usage;
            return finish(m_client.read(Method::Post, "/v1/check", *document), &Runner::writeChecked);
        }

        ExitCode apply()
        {
            const std::optional<std::string> document = readFile();
            if (!document)
                return ExitCode::Usage;
            const bool isRepeat = !m_arguments.nonce.empty();
            const std::string nonce
                = isRepeat ? m_arguments.nonce : Crypto::toHex(Crypto::randomBytes(nonceBytes));
            Reply reply = m_client.change(Method::Put,
                "/v1/document?expected=" + std::to_string(m_arguments.expectedVersion)
                    + "&nonce=" + encodeForUrl(nonce) + (isRepeat ? "&repeat=true" : ""),
                *document);
            // The earlier attempt may have taken effect although the host cannot be reached now.
            if (isRepeat && reply.status == ReplyStatus::NotReachable)
                reply.status = ReplyStatus::OutcomeUnknown;
            const ExitCode code = finish(reply, &Runner::writeVersion);
            if (code == ExitCode::OutcomeUnknown)
                m_streams.err << "to determine the outcome, repeat the command: parsleytack apply "
                              << m_arguments.file << " --expected " << m_arguments.expectedVersion
                              << " --nonce " << nonce << '\n';
            return code;
        }

        ExitCode changeZone()
        {
            const std::string action = m_arguments.command == Command::ZoneOut ? "out" : "in";
            return finish(
                m_client.change(Method::Put, "/v1/zones/" + name(0) + "/" + action), &Runner::writeVersion);
        }

        ExitCode grantKey()
        {
            const ExitCode code
                = finish(m_client.change(Method::Post, "/v1/keys/" + name(1) + "?customer=" + name(0)),
                    &Runner::writeKey);
            if (code == ExitCode::OutcomeUnknown)
                m_streams.err << "the key may have been created, but its value is lost: withdraw it and "
                                 "grant a key with another name\n";
            return code;
        }

        ExitCode finish(const Reply& reply, Writer writer)
        {
            const bool isJson = m_arguments.format == OutputFormat::Json;
            if (isJson && !reply.json.is_null())
                writeJson(reply.json);
            switch (reply.status) {
            case ReplyStatus::Done:
                if (!isJson)
                    (this->*writer)(reply.json);
                return ExitCode::Done;
            case ReplyStatus::Refused:
                writeRefusal(reply, "refused");
                return ExitCode::Refused;
            case ReplyStatus::NotReachable:
                m_streams.err << m_arguments.server << " cannot be reached: " << reply.message << '\n';
                return ExitCode::NotReachable;
            case ReplyStatus::OutcomeUnknown:
                writeRefusal(reply, "outcome unknown");
                return ExitCode::OutcomeUnknown;
            }
            return ExitCode::OutcomeUnknown;
        }

        void writeRefusal(const Reply& reply, const char* what)
        {
            const std::string code = fieldText(reply.json, "code");
            const bool hasFaults = reply.json.is_object() && reply.json.contains("faults");
            // The message lists the same faults as the table, but in a single line.
            const bool isTable = hasFaults && m_arguments.format == OutputFormat::Table;
            m_streams.err << what << (code.empty() ? "" : " (" + code + ")")
                          << (isTable ? "" : ": " + reply.message) << '\n';
            if (reply.json.is_object() && reply.json.contains("version"))
                m_streams.err << "version " << fieldText(reply.json, "version") << " won\n";
            if (isTable)
                writeList(m_streams.out, reply.json["faults"], { "type", "name", "field", "message" });
        }

        void writeJson(const Json& json)
        {
            m_streams.out << json.dump(jsonIndent, ' ', false, Json::error_handler_t::replace) << '\n';
        }

        void writeVersion(const Json& json)
        {
            m_streams.out << "version " << fieldText(json, "version") << " is published\n";
        }

        void writeChecked(const Json& json)
        {
            m_streams.out << "the document is valid and can be published on top of version "
                          << fieldText(json, "version") << '\n';
        }

        void writeKey(const Json& json)
        {
            m_streams.out << fieldText(json, "key") << '\n';
            m_streams.err << "version " << fieldText(json, "version")
                          << " is published; the key is not shown again\n";
        }

        /// Writes only the document to standard output, so that it can be redirected, edited and applied.
        void writeDocument(const Json& json)
        {
            writeJson(json.value("document", Json::object()));
            m_streams.err << "version " << fieldText(json, "version") << '\n';
        }

        void writeHistory(const Json& json)
        {
            writeList(m_streams.out, json.value("versions", Json::array()),
                { "version", "fromVersion", "hash", "nonce", "objects" });
        }

        void writeStatus(const Json& json)
        {
            Table table({ "HOST", "ZONE", "CONTACT", "VERSION", "ANNOUNCED" });
            table.add({ fieldText(json, "host"), fieldText(json, "zone"), fieldText(json, "contact"),
                fieldText(json, "version"), fieldText(json, "announcedVersion") });
            table.write(m_streams.out);
            m_streams.out << '\n';
            writeList(m_streams.out, json.value("hosts", Json::array()), { "name", "zone", "state" });
            m_streams.out << '\n';
            writeList(
                m_streams.out, json.value("services", Json::array()), { "name", "owner", "primary", "term" });
        }

        const Arguments& m_arguments;
        Streams m_streams;
        OperatorClient m_client;
    };

}

ExitCode run(const std::vector<std::string>& arguments, const Environment& environment, Streams streams)
{
    const auto parsed = parseArguments(arguments, environment, streams.out, streams.err);
    if (!parsed)
        return parsed.error();
    return Runner(*parsed, streams).run();
}

}
