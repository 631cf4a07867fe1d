#pragma once

#include <cstdint>
#include <string>

namespace Proxy {

enum class StatementKind : std::uint8_t {
    Begin,
    BeginReadOnly,
    Commit,
    Rollback,
    Read,
    Write,
    /// Sets a session value.
    Set,
    Prepare,
    Execute,
    /// Closes a prepared statement.
    Close,
    /// Could not be parsed; it is refused.
    Malformed,
};

enum class PreparedKind : std::uint8_t { Read, Write };

/// One statement of a caller.
struct Statement {
    /// Unique id that the caller chose.
    std::string id;
    StatementKind kind = StatementKind::Malformed;
    /// The session value or prepared statement that `Set`, `Prepare`, `Execute` and `Close` name.
    std::string name;
    /// `Set`: the value; `Prepare`: the shape; `Read`, `Write`, `Execute`: the rest of the statement, passed
    /// on unchanged.
    std::string argument;
    /// What `Prepare` prepares.
    PreparedKind prepared = PreparedKind::Read;
};

}
