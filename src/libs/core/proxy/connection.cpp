#include "core/proxy/connection.h"

#include <algorithm>

namespace Proxy {

namespace {

    Command setCommand(const std::string& name, const std::string& value)
    {
        Command command { CommandKind::Set };
        command.statement.kind = StatementKind::Set;
        command.statement.name = name;
        command.statement.argument = value;
        return command;
    }

    Command prepareCommand(const std::string& name, const PreparedShape& shape)
    {
        Command command { CommandKind::Prepare };
        command.statement.kind = StatementKind::Prepare;
        command.statement.name = name;
        command.statement.prepared = shape.kind;
        command.statement.argument = shape.shape;
        return command;
    }

}

std::vector<Command> commandsToMatch(
    Connection& connection, const SessionContext& context, const PreparedShape* shape)
{
    std::vector<Command> commands;
    const bool hasForeignValue = std::ranges::any_of(
        connection.values, [&](const auto& value) { return !context.values.contains(value.first); });
    // A single value cannot be removed; a reset removes all values and all prepared statements.
    if (hasForeignValue) {
        commands.push_back({ CommandKind::Reset });
        connection.values.clear();
        connection.prepared.clear();
    }
    for (const auto& [name, value] : context.values) {
        const auto [current, isNew] = connection.values.try_emplace(name, value);
        if (!isNew && current->second == value)
            continue;
        current->second = value;
        commands.push_back(setCommand(name, value));
    }
    if (shape && !connection.prepared.contains(*shape)) {
        const std::string name = "p" + std::to_string(connection.prepared.size() + 1);
        connection.prepared.emplace(*shape, name);
        commands.push_back(prepareCommand(name, *shape));
    }
    return commands;
}

}
