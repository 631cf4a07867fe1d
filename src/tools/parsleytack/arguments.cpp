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

    /// One command with what follows it.
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
                "Publishes a whole document. Prints the new version, or which version won if another "
                "operator was first.",
                { fileOperand } },
            { Command::Check, "check",
                "Checks whether a document could be published now, and lists everything that is wrong with "
                "it.",
                { fileOperand } },
            { Command::Get, "get",
                "Prints the document in force on the host. Its version is written to standard error.", {} },
            { Command::History, "history",
                "Lists the latest versions that the host has had in force and the objects they changed.",
                {} },
            { Command::Status, "status", "Shows the fleet and the services as the host sees them.", {} },
            { Command::ZoneOut, "zone out",
                "Takes an availability zone out: it receives no new work after a few seconds.",
                { zoneOperand } },
            { Command::ZoneIn, "zone in", "Brings an availability zone back in.", { zoneOperand } },
            { Command::KeyGrant, "key grant", "Creates a key for a customer and prints it, this once.",
                { customerOperand, keyOperand } },
            { Command::KeyWithdraw, "key withdraw",
                "Withdraws a key: it stops working within seconds, also for connected callers.",
                { keyOperand } },
        };
        return table;
    }

    /// Writes to the given streams and leaves the exit to the caller.
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
        out << "\nEach command has --help. Exit codes: 0 done, 1 refused, 2 usage, 3 not reachable, 4 "
               "outcome "
               "unknown.\n";
    }

    const CommandInfo* findCommand(const std::vector<std::string>& arguments)
    {
        const std::string one = arguments.empty() ? "" : arguments[0];
        const std::string two = arguments.size() < 2 ? one : one + " " + arguments[1];
        const auto found = std::ranges::find_if(
            commandTable(), [&](const CommandInfo& info) { return info.words == one || info.words == two; });
        return found == commandTable().end() ? nullptr : &*found;
    }

    /// The command line of one command. Owns its arguments.
    class CommandParser {
    public:
        CommandParser(const CommandInfo& info, const Environment& environment)
            : m_info(info)
            , m_commandLine(info.description, ' ', std::string(programVersion))
            , m_server("s", "server", "IP:PORT of a host's interface for operators (or PARSLEYTACK_SERVER).",
                  false, environment("PARSLEYTACK_SERVER").value_or(""), "IP:PORT", m_commandLine)
            , m_secretFile("", "secret-file",
                  "File whose first line is the operator secret (or the secret in "
                  "PARSLEYTACK_OPERATOR_SECRET).",
                  false, "", "FILE", m_commandLine)
            , m_formatNames { "table", "json" }
            , m_formats(m_formatNames)
            , m_format("o", "output", "Form of the output.", false, "table", &m_formats, m_commandLine)
            , m_timeout("", "timeout-ms", "Longest wait for the answer.", false, defaultTimeoutMs, "MS",
                  m_commandLine)
        {
            if (info.command == Command::Apply) {
                m_expected = std::make_unique<TCLAP::ValueArg<std::uint64_t>>("e", "expected",
                    "The version on which the document is based, as printed by get; 0 for the first one.",
                    true, 0, "VERSION", m_commandLine);
                m_nonce = std::make_unique<TCLAP::ValueArg<std::string>>("", "nonce",
                    "Repeats a publication whose outcome is unknown; the same nonce, version and document as "
                    "before.",
                    false, "", "NONCE", m_commandLine);
            }
            for (const Operand& operand : info.operands) {
                // Two operands of one command have different names.
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

    /// The secret is no argument, because other users of a machine can read the arguments of a process.
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

    /// What is missing or wrong beyond the syntax; empty if nothing.
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
