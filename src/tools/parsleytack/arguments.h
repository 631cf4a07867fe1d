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

/// Everything that the command line, the environment and the secret file say.
struct Arguments {
    Command command = Command::Status;
    /// `IP:PORT` of a host's interface for operators.
    std::string server;
    std::string secret;
    OutputFormat format = OutputFormat::Table;
    std::chrono::milliseconds timeout {};
    /// Path of the document; `-` for standard input.
    std::string file;
    std::uint64_t expectedVersion = 0;
    /// Set for a publication that is repeated.
    std::string nonce;
    /// Zone, or customer and key.
    std::vector<std::string> names;
};

using Environment = std::function<std::optional<std::string>(const std::string& name)>;

/// Reads the arguments behind the program name. Without a value, help or an error has been written, and
/// the exit code says which.
tl::expected<Arguments, ExitCode> parseArguments(const std::vector<std::string>& arguments,
    const Environment& environment, std::ostream& out, std::ostream& err);

}
