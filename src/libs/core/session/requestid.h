#pragma once

#include "core/model/result.h"
#include "core/model/time.h"

#include <string_view>

namespace Session {

/// Upstreams retain request ids for 10 minutes. Hosts reject ids one minute earlier, so that the upstreams
/// still have the id of the first attempt whenever a repeated attempt is accepted.
constexpr Model::UnixSeconds maxRequestIdAge { 540 };
/// How far the clock of a caller may be ahead of that of a host.
constexpr Model::UnixSeconds maxRequestIdClockSkew { 60 };
/// In bytes.
constexpr std::size_t maxRequestIdSize = 128;

/// Checks an idempotency key of the form SECONDS-TEXT, where SECONDS is the Unix time of the first attempt.
/// Errors: `invalid_request` for a malformed id, `request_id_expired` for a time that is too old or too far
/// ahead of `now`.
Model::Result<void> checkRequestId(std::string_view requestId, Model::UnixSeconds now);

}
