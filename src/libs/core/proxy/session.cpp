#include "core/proxy/session.h"

namespace Proxy {

std::size_t statementBytes(const Statement& statement)
{
    return sizeof(Statement) + statement.id.size() + statement.name.size() + statement.argument.size();
}

bool needsUpstream(StatementKind kind)
{
    switch (kind) {
    case StatementKind::Commit:
    case StatementKind::Read:
    case StatementKind::Write:
    case StatementKind::Execute:
        return true;
    case StatementKind::Begin:
    case StatementKind::BeginReadOnly:
    case StatementKind::Rollback:
    case StatementKind::Set:
    case StatementKind::Prepare:
    case StatementKind::Close:
    case StatementKind::Malformed:
        return false;
    }
    return false;
}

bool isWrite(const Statement& statement, const PreparedShape* prepared)
{
    if (statement.kind == StatementKind::Write)
        return true;
    return statement.kind == StatementKind::Execute && prepared && prepared->kind == PreparedKind::Write;
}

}
