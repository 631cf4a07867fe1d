#pragma once

#include "core/model/time.h"
#include "core/proxy/resultcode.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Proxy {

/// The stages (hops) that a traced request passes through, possibly several times.
enum class HopKind : std::uint8_t {
    /// The request waits for a connection or for its next attempt.
    Queue,
    /// An upstream runs the request; includes the preparation of the connection.
    Upstream,
    /// Another host, the pool host of the service, executes the request.
    PoolHost,
};

/// The name used in logs.
std::string_view hopKindName(HopKind kind);

/// One hop of a request.
struct Hop {
    HopKind kind = HopKind::Queue;
    /// Empty for `Queue`.
    std::string upstream;
    Model::Time startedAt;
    Model::Time endedAt;
    /// Result of the request when the hop ended.
    ResultCode code = ResultCode::Complete;
};

/// Records the hops of one request. Each hop starts when the previous one ends. Used on one thread.
class HopTrace {
public:
    /// Ends the current hop, if any, with `code` and starts the next one.
    void enter(HopKind kind, const std::string& upstream, ResultCode code, Model::Time now);
    /// Ends the current hop, if any, with `code`.
    void end(ResultCode code, Model::Time now);
    const std::vector<Hop>& hops() const { return m_hops; }

private:
    std::vector<Hop> m_hops;
};

}
