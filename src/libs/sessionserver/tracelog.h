#pragma once

#include "core/proxy/session.h"

namespace SessionServer {

/// If the session's request is traced, logs a span for the request, which was answered with `code` after
/// `elapsed`, and a span for each of its hops.
void writeTrace(const Proxy::Session& session, Proxy::ResultCode code, Model::Duration elapsed);

}
