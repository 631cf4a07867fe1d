#pragma once

#include "common/httpserver.h"

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace Standins {

/// The words of a statement, parameters substituted.
using Statement = std::vector<std::string>;
using Table = std::unordered_map<std::string, std::string>;

/// Splits `sql` into words and replaces each word `?` by the next parameter; nothing if one is missing.
std::optional<Statement> parseStatement(const std::string& sql, const Json& params);

/// Whether the statement changes the table.
bool isChange(const Statement& statement);
/// The time of a `SLEEP` statement in ms; 0 for all others.
int sleepMs(const Statement& statement);

/// A table with changes that are not part of it yet.
struct TableView {
    const Table& base;
    Table changes;

    std::optional<std::string> find(const std::string& key) const;
};

/// Runs a statement on the view: the result of a change, or the rows of a read; nothing if it fails.
std::optional<Json> runStatement(TableView& view, const Statement& statement);

}
