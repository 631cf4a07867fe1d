#include "core/proxy/resultcode.h"

#include <array>

namespace Proxy {

namespace {

    constexpr std::array<ResultInfo, 14> results { {
        { ResultCode::Complete, "complete", false },
        { ResultCode::NoDatabase, "no_database", true },
        { ResultCode::InvalidKey, "invalid_key", true },
        { ResultCode::Busy, "busy", true },
        { ResultCode::Aborted, "aborted", true },
        { ResultCode::Lagging, "lagging", true },
        { ResultCode::ReadOnly, "read_only", true },
        { ResultCode::WrongInstance, "wrong_instance", true },
        { ResultCode::ConnectionLimit, "connection_limit", true },
        { ResultCode::InDoubt, "in_doubt", false },
        { ResultCode::TimedOut, "timed_out", false },
        { ResultCode::Failed, "failed", false },
        { ResultCode::UnknownStatement, "unknown_statement", true },
        { ResultCode::Malformed, "malformed", true },
    } };

}

std::span<const ResultInfo> resultTable() { return results; }

const ResultInfo& resultInfo(ResultCode code) { return results.at(static_cast<std::size_t>(code)); }

}
