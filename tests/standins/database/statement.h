#pragma once

#include "common/httpserver.h"

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace Standins {

/// The words of a statement, with the parameters substituted. The first word is the verb.
using Statement = std::vector<std::string>;
using Table = std::unordered_map<std::string, std::string>;

/// Splits `sql` into words and replaces each word `?` with the next parameter. Returns nullopt if a parameter
/// is missing or `sql` is empty.
std::optional<Statement> parseStatement(const std::string& sql, const Json& params);

/// Whether the statement changes the table: PUT, APPEND or INCR.
bool isChange(const Statement& statement);
/// The duration of a valid `SLEEP` statement in ms, at most 60000; 0 for all other statements.
int sleepMs(const Statement& statement);

/// A table together with uncommitted changes.
struct TableView {
    const Table& base;
    Table changes;

    /// The value of a key, including uncommitted changes; nullopt if the key does not exist.
    std::optional<std::string> find(const std::string& key) const;
};

/// Runs a statement on the view. Returns the result of a change or the rows of a read; nullopt if the
/// statement is unknown, has a wrong number of operands, or increments a value that is not a number.
std::optional<Json> runStatement(TableView& view, const Statement& statement);

}
