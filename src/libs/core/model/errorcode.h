#pragma once

#include "core/model/outcome.h"

#include <cstdint>
#include <span>
#include <string_view>
#include <system_error>

namespace Model {

/// The errors that callers and operators can receive. docs/errors.md lists them.
enum class ErrorCode : std::uint8_t {
    InvalidRequest = 1,
    BodyTooLarge,
    HeadersTooLarge,
    KeyMissing,
    KeyInvalid,
    RouteForbidden,
    RouteUnknown,
    SessionTokenInvalid,
    SessionPositionLost,
    RequestIdExpired,
    RateLimited,
    QueueFull,
    ZoneOut,
    Draining,
    Isolated,
    NotReady,
    NotOwner,
    OwnerUnreachable,
    NoPrimary,
    DeadlineExceeded,
    TooManyTransactions,
    TransactionUnknown,
    TransactionAborted,
    StatementFailed,
    Internal,
    OutcomeUnknown,
    CheckFailed,
    VersionConflict,
    StoreUnavailable,
    PublishUnknown,
};

/// One row of the error table.
struct ErrorInfo {
    ErrorCode code;
    std::string_view name;
    int httpStatus;
    Outcome outcome;
    std::string_view description;
};

/// All errors, in the order of the enumeration.
std::span<const ErrorInfo> errorTable();
const ErrorInfo& errorInfo(ErrorCode code);
/// The code of a name of the error table; `Internal` for a name that is not in it.
ErrorCode errorCodeFromName(std::string_view name);

const std::error_category& errorCategory();
std::error_code make_error_code(ErrorCode code);

}

template <> struct std::is_error_code_enum<Model::ErrorCode> : std::true_type {
};
