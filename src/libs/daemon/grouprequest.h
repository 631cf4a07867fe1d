#pragma once

#include "core/model/logposition.h"
#include "core/model/result.h"
#include "core/model/time.h"
#include "gateway/callerrequest.h"

#include <optional>
#include <string>

namespace Daemon {

/// A request for the owner of a group. It never contains the caller's key.
struct GroupRequest {
    Gateway::Operation operation = Gateway::Operation::Statement;
    std::string service;
    /// Empty on routes open to all.
    std::string customer;
    /// Name of the key object; empty on routes open to all.
    std::string keyName;
    std::string sql;
    std::string params = "[]";
    bool isWrite = false;
    /// Largest accepted age of the data of a read.
    std::optional<Model::Duration> maxAge;
    /// Idempotency key with the customer as prefix, so that keys of two customers never collide; empty for
    /// none.
    std::string requestId;
    std::string transactionId;
    /// Lowest log position that an upstream must have reached to serve a read or a transaction.
    Model::LogPosition sessionPosition;
    Model::Time deadline;
    std::string traceparent;
};

struct GroupAnswer {
    std::optional<Model::Error> error;
    std::string result;
    /// Log position of an acknowledged write; zero otherwise.
    Model::LogPosition position;
    std::string transactionId;
    /// Name of the upstream that served the request.
    std::string upstream;
};

inline GroupAnswer errorAnswer(Model::ErrorCode code, std::string message = {})
{
    return { Model::makeError(code, std::move(message)).value(), {}, {}, {}, {} };
}

}
