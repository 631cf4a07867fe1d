#include "parsleytack/arguments.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <list>
#include <memory>
#include <ostream>
#include <span>
#include <string_view>

#include <tclap/CmdLine.h>

namespace Tool {

namespace {

    constexpr std::string_view programName = "parsleytack";
    constexpr std::string_view programVersion = "0.1.0";
    constexpr int defaultTimeoutMs = 15000;

    struct Operand {
        const char* name;
        const char* description;
    };

    constexpr Operand fileOperand { "FILE", "The document as JSON; - reads standard input." };
    constexpr Operand zoneOperand { "NAME", "Name of the availability zone." };
    constexpr Operand customerOperand { "CUSTOMER", "Name of the customer that the key belongs to." };
    constexpr Operand keyOperand { "NAME", "Name of the key." };

    /// A command with its operands, as it appears on the command line and in the help.
    struct CommandInfo {
        Command command;
        std::string_view words;
        const char* description;
        std::vector<Operand> operands;
    };

    const std::vector<CommandInfo>& commandTable()
    {
        static const std::vector<CommandInfo> table {
            { Command::Apply, "apply",
                "Publishes a whole document. Prints the new version, or the conflicting version if another "
                "operator published first.",
                { fileOperand } },
            { Command::Check, "check",
                "Checks whether a document could be published now, and lists all of its faults.",
                { fileOperand } },
            { Command::Get, "get",
                "Prints the document in force on the host. Its version is written to standard error.", {} },
            { Command::History, "history",
                "Lists the latest versions that the host has had in force and the objects they changed.",
                {} },
            { Command::Status, "status", "Shows the fleet and the services as the host sees them.", {} },
            { Command::ZoneOut, "zone out",
                "Takes an availability zone out of service: it receives no new work after a few seconds.",
                { zoneOperand } },
            { Command::ZoneIn, "zone in", "Puts an availability zone back in service.", { zoneOperand } },
            { Command::KeyGrant, "key grant",
                "Creates a key for a customer and prints it. The key cannot be shown again.",
                { customerOperand, keyOperand } },
            { Command::KeyWithdraw, "key withdraw",
                "Withdraws a key: it stops working within seconds, also for connected callers.",
                { keyOperand } },
        };
        return table;
    }

    /// Redirects the output of TCLAP to the given streams. In contrast to TCLAP::StdOutput, failure() does
    /// not end the process.
    class StreamOutput : public TCLAP::StdOutput {
    public:
        StreamOutput(std::ostream& out, std::ostream& err)
            : m_out(out)
            , m_err(err)
        {
        }

        void usage(TCLAP::CmdLineInterface& commandLine) override
        {
            m_out << "Usage:\n\n";
            _shortUsage(commandLine, m_out);
            m_out << "\n\nOptions:\n\n";
            _longUsage(commandLine, m_out);
        }

        void version(TCLAP::CmdLineInterface&) override
        {
            m_out << programName << ' ' << programVersion << '\n';
        }

        void failure(TCLAP::CmdLineInterface& commandLine, TCLAP::ArgException& error) override
        {
            m_err << programName << ": " << error.error() << ' ' << error.argId() << "\nTry "
                  << commandLine.getProgramName() << " --help\n";
        }

    private:
        std::ostream& m_out;
        std::ostream& m_err;
    };

    void writeOverview(std::ostream& out)
    {
        out << "Usage: " << programName << " COMMAND [OPTIONS] [OPERANDS]\n\nCommands:\n";
        for (const CommandInfo& info : commandTable()) {
            std::string line = "  " + std::string(info.words);
            for (const Operand& operand : info.operands)
                line += " " + std::string(operand.name);
            constexpr std::size_t column = 30;
            line.resize(std::max(column, line.size() + 1), ' ');
            out << line << info.description << '\n';
        }
        out << "\nEach command has --help. Exit codes: 0 done, 1 refused, 2 usage, 3 not reachable, "
               "4 outcome unknown.\n";
    }

    const CommandInfo* findCommand(const std::vector<std::string>& arguments)
    {
        const std::string one = arguments.empty() ? "" : arguments[0];
        const std::string two = arguments.size() < 2 ? one : one + " " + arguments[1];
        const auto found = std::ranges::find_if(
            commandTable(), [&](const CommandInfo& info) { return info.words == one || info.words == two; });
        return found == commandTable().end() ? nullptr : &*found;
    }

    /// Parses the options and operands of one command. Owns the TCLAP arguments.
    class CommandParser {
    public:
        CommandParser(const CommandInfo& info, const Environment& environment)
            : m_info(info)
            , m_commandLine(info.description, ' ', std::string(programVersion))
            , m_server("s", "server", "IP:PORT of a host's operator interface. Default: PARSLEYTACK_SERVER.",
                  false, environment("PARSLEYTACK_SERVER").value_or(""), "IP:PORT", m_commandLine)
            , m_secretFile("", "secret-file",
                  "File whose first line is the operator secret. Default: the secret in "
                  "PARSLEYTACK_OPERATOR_SECRET.",
                  false, "", "FILE", m_commandLine)
            , m_formatNames { "table", "json" }
            , m_formats(m_formatNames)
            , m_format("o", "output", "Output format.", false, "table", &m_formats, m_commandLine)
            , m_timeout("", "timeout-ms", "Maximum time to wait for the response, in milliseconds.", false,
                  defaultTimeoutMs, "MS", m_commandLine)
        {
            if (info.command == Command::Apply) {
                m_expected = std::make_unique<TCLAP::ValueArg<std::uint64_t>>("e", "expected",
                    "The version on which the document is based, as printed by get; 0 for the first "
                    "publication.",
                    true, 0, "VERSION", m_commandLine);
                m_nonce = std::make_unique<TCLAP::ValueArg<std::string>>("", "nonce",
                    "Repeats a publication whose outcome is unknown. Requires the nonce, expected version "
                    "and document of the first attempt.",
                    false, "", "NONCE", m_commandLine);
            }
            for (const Operand& operand : info.operands) {
                // TCLAP rejects two operands of the same name; those of one command have different names.
                m_operands.push_back(std::make_unique<TCLAP::UnlabeledValueArg<std::string>>(
                    operand.name, operand.description, true, "", operand.name, m_commandLine));
            }
        }

        void parse(const std::vector<std::string>& arguments, StreamOutput& output)
        {
            m_commandLine.setExceptionHandling(false);
            m_commandLine.setOutput(&output);
            const auto wordCount = 1 + std::ranges::count(m_info.words, ' ');
            std::vector<std::string> rest { std::string(programName) + " " + std::string(m_info.words) };
            rest.insert(rest.end(), arguments.begin() + wordCount, arguments.end());
            try {
                m_commandLine.parse(rest);
            } catch (TCLAP::ArgException& error) {
                output.failure(m_commandLine, error);
                throw;
            }
        }

        Arguments arguments() const
        {
            Arguments result;
            result.command = m_info.command;
            result.server = m_server.getValue();
            result.format = m_format.getValue() == "json" ? OutputFormat::Json : OutputFormat::Table;
            result.timeout = std::chrono::milliseconds(m_timeout.getValue());
            result.expectedVersion = m_expected ? m_expected->getValue() : 0;
            result.nonce = m_nonce ? m_nonce->getValue() : "";
            const bool hasFile = m_info.command == Command::Apply || m_info.command == Command::Check;
            for (const auto& operand : m_operands) {
                if (hasFile)
                    result.file = operand->getValue();
                else
                    result.names.push_back(operand->getValue());
            }
            return result;
        }

        const std::string& secretFile() const { return m_secretFile.getValue(); }

    private:
        const CommandInfo& m_info;
        TCLAP::CmdLine m_commandLine;
        TCLAP::ValueArg<std::string> m_server;
        TCLAP::ValueArg<std::string> m_secretFile;
        std::vector<std::string> m_formatNames;
        TCLAP::ValuesConstraint<std::string> m_formats;
        TCLAP::ValueArg<std::string> m_format;
        TCLAP::ValueArg<int> m_timeout;
        std::unique_ptr<TCLAP::ValueArg<std::uint64_t>> m_expected;
        std::unique_ptr<TCLAP::ValueArg<std::string>> m_nonce;
        std::vector<std::unique_ptr<TCLAP::UnlabeledValueArg<std::string>>> m_operands;
    };

    /// Reads the operator secret from the first line of a file, or from the environment if `path` is empty.
    /// It is never a command-line argument, since other users of the machine can read those of a process.
    std::optional<std::string> readSecret(const std::string& path, const Environment& environment)
    {
        if (path.empty())
            return environment("PARSLEYTACK_OPERATOR_SECRET");
        std::ifstream file(path);
        std::string line;
        if (!std::getline(file, line))
            return std::nullopt;
        if (line.ends_with('\r'))
            line.pop_back();
        return line;
    }

    /// Checks what the parser cannot check. Returns an error message, which is empty for valid arguments.
    std::string findProblem(const Arguments& arguments)
    {
        if (arguments.server.empty())
            return "the server is missing: use --server or PARSLEYTACK_SERVER";
        if (arguments.secret.empty())
            return "the operator secret is missing or unreadable: use --secret-file or "
                   "PARSLEYTACK_OPERATOR_SECRET";
        if (arguments.timeout.count() <= 0)
            return "--timeout-ms must be positive";
        return {};
    }

}

tl::expected<Arguments, ExitCode> parseArguments(const std::vector<std::string>& arguments,
    const Environment& environment, std::ostream& out, std::ostream& err)
{
    const bool wantsOverview
        = !arguments.empty() && (arguments[0] == "--help" || arguments[0] == "-h" || arguments[0] == "help");
    if (wantsOverview) {
        writeOverview(out);
        return tl::unexpected(ExitCode::Done);
    }
    const CommandInfo* info = findCommand(arguments);
    if (!info) {
        err << programName << ": the command is missing or unknown\n";
        writeOverview(err);
        return tl::unexpected(ExitCode::Usage);
    }
    StreamOutput output(out, err);
    CommandParser parser(*info, environment);
    try {
        parser.parse(arguments, output);
    } catch (const TCLAP::ArgException&) {
        return tl::unexpected(ExitCode::Usage);
    } catch (const TCLAP::ExitException&) {
        return tl::unexpected(ExitCode::Done);
    }
    Arguments result = parser.arguments();
    result.secret = readSecret(parser.secretFile(), environment).value_or("");
    const std::string problem = findProblem(result);
    if (!problem.empty()) {
        err << programName << ": " << problem << '\n';
        return tl::unexpected(ExitCode::Usage);
    }
    return result;
}

}
