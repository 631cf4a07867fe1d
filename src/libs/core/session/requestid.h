#pragma once

#include "core/model/result.h"
#include "core/model/time.h"

#include <string_view>

namespace Session {

/// The upstreams keep request ids for 10 minutes. Ids are refused one minute earlier, so that the entry
/// of a first attempt is still there whenever a repeated attempt is let through.
constexpr Model::UnixSeconds maxRequestIdAge { 540 };
/// Tolerated clock difference between a caller and a host.
constexpr Model::UnixSeconds maxRequestIdClockSkew { 60 };
constexpr std::size_t maxRequestIdSize = 128;

/// Checks an idempotency key of the form SECONDS-TEXT, where SECONDS is the Unix time of the first attempt.
/// Errors: `invalid_request`, `request_id_expired`.
Model::Result<void> checkRequestId(std::string_view requestId, Model::UnixSeconds now);

}
