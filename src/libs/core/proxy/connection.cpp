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

    /// Memory of an entry of a map besides its texts.
    constexpr std::size_t entryOverhead = 160;

    std::size_t entryBytes(const std::string& name, const std::string& text)
    {
        return name.size() + text.size() + entryOverhead;
    }

    /// Shapes from all sessions that used a connection would add up without a limit. A reset would end a
    /// transaction's values, so it waits for the end of the transaction.
    constexpr std::size_t maxConnectionBytes = 4UL * 1024 * 1024;

}

bool keepInContext(SessionContext& context, const Statement& statement, std::size_t maxBytes)
{
    const bool isValue = statement.kind == StatementKind::Set;
    std::size_t replaced = 0;
    if (const auto value = context.values.find(statement.name); isValue && value != context.values.end())
        replaced = entryBytes(value->first, value->second);
    const auto prepared = context.prepared.find(statement.name);
    if (!isValue && prepared != context.prepared.end())
        replaced = entryBytes(prepared->first, prepared->second.shape);
    const std::size_t bytes = context.bytes - replaced + entryBytes(statement.name, statement.argument);
    if (bytes > maxBytes)
        return false;
    context.bytes = bytes;
    if (isValue)
        context.values[statement.name] = statement.argument;
    else
        context.prepared[statement.name] = { statement.prepared, statement.argument };
    return true;
}

void closePrepared(SessionContext& context, const std::string& name)
{
    const auto found = context.prepared.find(name);
    if (found == context.prepared.end())
        return;
    context.bytes -= entryBytes(found->first, found->second.shape);
    context.prepared.erase(found);
}

std::vector<Command> commandsToMatch(
    Connection& connection, const SessionContext& context, const PreparedShape* shape)
{
    std::vector<Command> commands;
    const bool hasForeignValue = std::ranges::any_of(
        connection.values, [&](const auto& value) { return !context.values.contains(value.first); });
    // A single value cannot be removed; a reset removes all values and all prepared statements.
    const bool isFull = connection.contextBytes > maxConnectionBytes && !connection.isInTransaction;
    if (hasForeignValue || isFull) {
        commands.push_back({ CommandKind::Reset });
        connection.values.clear();
        connection.prepared.clear();
        connection.contextBytes = 0;
    }
    for (const auto& [name, value] : context.values) {
        const auto [current, isNew] = connection.values.try_emplace(name, value);
        if (!isNew && current->second == value)
            continue;
        connection.contextBytes += entryBytes(name, value);
        if (!isNew)
            connection.contextBytes -= entryBytes(name, current->second);
        current->second = value;
        commands.push_back(setCommand(name, value));
    }
    if (shape && !connection.prepared.contains(*shape)) {
        const std::string name = "p" + std::to_string(connection.prepared.size() + 1);
        connection.prepared.emplace(*shape, name);
        connection.contextBytes += entryBytes(name, shape->shape);
        commands.push_back(prepareCommand(name, *shape));
    }
    return commands;
}

}
