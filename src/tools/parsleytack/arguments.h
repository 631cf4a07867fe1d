#pragma once

#include "parsleytack/exitcode.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

#include <tl/expected.hpp>

namespace Tool {

enum class Command : std::uint8_t {
    Apply,
    Check,
    Get,
    History,
    Status,
    ZoneOut,
    ZoneIn,
    KeyGrant,
    KeyWithdraw,
};

enum class OutputFormat : std::uint8_t { Table, Json };

/// A command with its options and operands, from the command line, the environment and the secret file.
struct Arguments {
    Command command = Command::Status;
    /// `IP:PORT` of a host's operator interface.
    std::string server;
    std::string secret;
    OutputFormat format = OutputFormat::Table;
    std::chrono::milliseconds timeout {};
    /// Path of the document; `-` for standard input.
    std::string file;
    /// Version on which the document is based; 0 for the first publication.
    std::uint64_t expectedVersion = 0;
    /// Nonce of the publication to repeat; empty for a new one.
    std::string nonce;
    /// Operands of the zone and key commands: a zone, a customer and a key, or a key.
    std::vector<std::string> names;
};

/// Returns the value of an environment variable; std::nullopt if it is not set.
using Environment = std::function<std::optional<std::string>(const std::string& name)>;

/// Parses the arguments that follow the program name. If there is no command to run, returns the exit code:
/// ExitCode::Done after writing help or the program's version to `out`, ExitCode::Usage after writing an
/// error to `err`.
tl::expected<Arguments, ExitCode> parseArguments(const std::vector<std::string>& arguments,
    const Environment& environment, std::ostream& out, std::ostream& err);

}
