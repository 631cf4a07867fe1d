#include "core/model/errorcode.h"

#include <algorithm>
#include <array>
#include <string>

namespace Model {

namespace {

    using enum ErrorCode;

    constexpr std::array<ErrorInfo, 30> table { {
        { InvalidRequest, "invalid_request", 400, Outcome::NotRun, "the request is malformed" },
        { BodyTooLarge, "body_too_large", 413, Outcome::NotRun, "the body exceeds the size limit" },
        { HeadersTooLarge, "headers_too_large", 431, Outcome::NotRun, "the headers exceed the size limit" },
        { KeyMissing, "key_missing", 401, Outcome::NotRun, "the route requires a key" },
        { KeyInvalid, "key_invalid", 401, Outcome::NotRun, "the key is unknown or withdrawn" },
        { RouteForbidden, "route_forbidden", 403, Outcome::NotRun, "the customer may not use the route" },
        { RouteUnknown, "route_unknown", 404, Outcome::NotRun, "no such route" },
        { SessionTokenInvalid, "session_token_invalid", 400, Outcome::NotRun,
            "the session token is not valid" },
        { SessionPositionLost, "session_position_lost", 409, Outcome::NotRun,
            "no upstream can reach the position of the session token" },
        { RequestIdExpired, "request_id_expired", 409, Outcome::NotRun,
            "the request id is outside of the retention window; whether an earlier attempt ran is not "
            "known" },
        { RateLimited, "rate_limited", 429, Outcome::NotRun, "the customer's rate and burst are used up" },
        { QueueFull, "queue_full", 503, Outcome::NotRun, "the customer's queue is full" },
        { ZoneOut, "zone_out", 503, Outcome::NotRun, "the availability zone is out of service" },
        { Draining, "draining", 503, Outcome::NotRun, "the host is shutting down" },
        { Isolated, "isolated", 503, Outcome::NotRun, "the host cannot confirm its configuration" },
        { NotReady, "not_ready", 503, Outcome::NotRun, "the host has no configuration yet" },
        { NotOwner, "not_owner", 503, Outcome::NotRun, "the host does not own the group" },
        { OwnerUnreachable, "owner_unreachable", 503, Outcome::NotRun,
            "the group's owner cannot be reached" },
        { NoPrimary, "no_primary", 503, Outcome::NotRun, "the group has no primary at present" },
        { DeadlineExceeded, "deadline_exceeded", 504, Outcome::NotRun,
            "the deadline passed before the request ran" },
        { TooManyTransactions, "too_many_transactions", 429, Outcome::NotRun, "too many open transactions" },
        { TransactionUnknown, "transaction_unknown", 404, Outcome::NotRun, "no such open transaction" },
        { TransactionAborted, "transaction_aborted", 409, Outcome::NotRun,
            "the transaction was rolled back" },
        { StatementFailed, "statement_failed", 422, Outcome::NotRun, "the database refused the statement" },
        { Internal, "internal", 500, Outcome::NotRun, "internal error before the request ran" },
        { OutcomeUnknown, "outcome_unknown", 502, Outcome::Unknown, "the request may have run" },
        { CheckFailed, "check_failed", 422, Outcome::NotRun, "the document is not consistent" },
        { VersionConflict, "version_conflict", 409, Outcome::NotRun, "another version was published first" },
        { StoreUnavailable, "store_unavailable", 503, Outcome::NotRun,
            "the platform's store does not answer" },
        { PublishUnknown, "publish_unknown", 502, Outcome::Unknown, "the publication may have taken effect" },
    } };

    class Category final : public std::error_category {
    public:
        const char* name() const noexcept override { return "parsleytack"; }
        std::string message(int value) const override
        {
            return std::string(errorInfo(static_cast<ErrorCode>(value)).description);
        }
    };

}

std::span<const ErrorInfo> errorTable() { return table; }

const ErrorInfo& errorInfo(ErrorCode code) { return table[static_cast<std::size_t>(code) - 1]; }

ErrorCode errorCodeFromName(std::string_view name)
{
    const auto found = std::ranges::find(table, name, &ErrorInfo::name);
    return found == table.end() ? Internal : found->code;
}

const std::error_category& errorCategory()
{
    static const Category category;
    return category;
}

std::error_code make_error_code(ErrorCode code) { return { static_cast<int>(code), errorCategory() }; }

}
