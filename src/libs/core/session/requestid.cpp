#include "core/session/requestid.h"

#include <algorithm>
#include <charconv>

namespace Session {

using Model::ErrorCode;
using Model::makeError;

Model::Result<void> checkRequestId(std::string_view requestId, Model::UnixSeconds now)
{
    const auto isPrintable = [](char c) { return c > ' ' && c < 0x7f; };
    if (requestId.size() > maxRequestIdSize || !std::ranges::all_of(requestId, isPrintable))
        return makeError(ErrorCode::InvalidRequest,
            "the request id must consist of at most 128 printable ASCII characters without blanks");
    std::int64_t seconds = 0;
    const char* end = requestId.data() + requestId.size();
    const auto [stop, error] = std::from_chars(requestId.data(), end, seconds);
    if (error != std::errc() || seconds < 0 || stop == end || *stop != '-' || stop + 1 == end)
        return makeError(ErrorCode::InvalidRequest, "the request id must have the form SECONDS-TEXT");
    const Model::UnixSeconds firstAttempt(seconds);
    if (firstAttempt > now + maxRequestIdClockSkew || firstAttempt + maxRequestIdAge < now)
        return makeError(ErrorCode::RequestIdExpired);
    return {};
}

}
