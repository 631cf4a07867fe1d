#pragma once

#include "core/model/outcome.h"

#include <cstdint>
#include <span>
#include <string_view>
#include <system_error>

namespace Model {

/// Errors that callers and operators can receive; docs/errors.md lists them. The values are the positions in
/// the error table, starting at 1.
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
    /// The code in responses, for example `invalid_request`.
    std::string_view name;
    int httpStatus;
    Outcome outcome;
    /// The default message.
    std::string_view description;
};

/// All errors, in the order of the enumeration.
std::span<const ErrorInfo> errorTable();
const ErrorInfo& errorInfo(ErrorCode code);
/// Returns the code with this name, or `Internal` if the error table has no such name.
ErrorCode errorCodeFromName(std::string_view name);

const std::error_category& errorCategory();
std::error_code make_error_code(ErrorCode code);

}

template <> struct std::is_error_code_enum<Model::ErrorCode> : std::true_type {
};
