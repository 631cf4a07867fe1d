#pragma once

#include <cstddef>

namespace Proxy {

/// Features of the engine that a host's settings switch on. docs/proxysettings.md describes them.
struct EngineSettings {
    /// Statements wait in one queue until their upstream has a free execution slot.
    bool schedulesStatements = false;
    /// Reads are divided between the upstreams by their load and failures.
    bool balancesUpstreams = false;
    /// Statements are executed by the pool host of their service.
    bool forwardsStatements = false;
    /// Memory for the values and prepared statements of one session.
    std::size_t maxContextBytes = 2UL * 1024 * 1024;
};

}
