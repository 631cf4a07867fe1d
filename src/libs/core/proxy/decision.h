#pragma once

#include "core/model/time.h"
#include "core/proxy/resultcode.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace Proxy {

/// The engine's decisions that are logged.
enum class DecisionKind : std::uint8_t {
    RequestRefused,
    RequestRetried,
    RequestInDoubt,
    TransactionAborted,
    SessionRejected,
    ConnectionRefused,
    ConnectionLost,
    /// A request was refused because the estimated wait for an execution slot exceeds its time limit.
    RequestRefusedByEstimate,
    /// Reads of a service began to leave the zone.
    ZoneLeft,
    /// Reads of a service ceased to leave the zone.
    ZoneReturned,
    /// An upstream gets only probes because it fails part of its statements.
    UpstreamSetAside,
    /// An upstream that was set aside gets reads again.
    UpstreamTakenBack,
};

/// One logged decision and the reasons for it.
struct Decision {
    DecisionKind kind = DecisionKind::RequestRefused;
    /// Id of the statement; empty if the decision concerns none.
    std::string request;
    std::string database;
    std::string customer;
    /// The upstream that was tried last, or that the connection belongs to.
    std::string upstream;
    ResultCode code = ResultCode::Busy;
    std::string_view reason;
    /// Values on which the decision was based, in addition to the other fields; may be empty.
    std::string inputs;
    /// Time since the request arrived, or since the connection last changed its state or sent
    /// messages.
    Model::Duration age {};
    int attempts = 0;
    /// Version of the configuration that applies to the operation; 0 if there is none yet.
    std::uint64_t configuration = 0;
};

}
