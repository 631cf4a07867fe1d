#include "daemon/forwardmessages.h"

#include "daemon/clock.h"
#include "wire/peer.pb.h"

namespace Daemon {

namespace {

    // The limits that `Gateway::parseCallerRequest` sets for callers.
    constexpr std::uint64_t maxTimeoutMs = 30000;
    constexpr std::uint64_t maxAgeLimitMs = UINT32_MAX;

}

Wire::ForwardRequest toMessage(const GroupRequest& request, Model::Time now)
{
    Wire::ForwardRequest message;
    message.set_operation(static_cast<Wire::Operation>(request.operation));
    message.set_service(request.service);
    message.set_customer(request.customer);
    message.set_key_name(request.keyName);
    message.set_sql(request.sql);
    message.set_params(request.params);
    message.set_write(request.isWrite);
    if (request.maxAge)
        message.set_max_age_ms(static_cast<std::uint64_t>(
            std::chrono::floor<std::chrono::milliseconds>(*request.maxAge).count()));
    message.set_request_id(request.requestId);
    message.set_transaction_id(request.transactionId);
    message.set_session_term(request.sessionPosition.term);
    message.set_session_position(request.sessionPosition.position);
    message.set_timeout_ms(static_cast<std::uint64_t>(timeLeft(request.deadline, now).count()));
    message.set_traceparent(request.traceparent);
    return message;
}

Model::Result<GroupRequest> fromMessage(const Wire::ForwardRequest& message, Model::Time now)
{
    const bool isInRange = Wire::Operation_IsValid(message.operation())
        && message.timeout_ms() <= maxTimeoutMs && message.max_age_ms() <= maxAgeLimitMs;
    if (!isInRange || message.service().empty())
        return Model::makeError(Model::ErrorCode::InvalidRequest,
            "the forwarded request names no service or has a value out of range");
    GroupRequest request;
    request.operation = static_cast<Gateway::Operation>(message.operation());
    request.service = message.service();
    request.customer = message.customer();
    request.keyName = message.key_name();
    request.sql = message.sql();
    request.params = message.params();
    request.isWrite = message.write();
    if (message.has_max_age_ms())
        request.maxAge = std::chrono::milliseconds(message.max_age_ms());
    request.requestId = message.request_id();
    request.transactionId = message.transaction_id();
    request.sessionPosition = { message.session_term(), message.session_position() };
    request.deadline = now + std::chrono::milliseconds(message.timeout_ms());
    request.traceparent = message.traceparent();
    return request;
}

Wire::ForwardReply toMessage(const GroupAnswer& answer)
{
    Wire::ForwardReply message;
    if (answer.error) {
        message.set_error(std::string(answer.error->info().name));
        message.set_message(answer.error->message);
    }
    message.set_result(answer.result);
    message.set_term(answer.position.term);
    message.set_position(answer.position.position);
    message.set_transaction_id(answer.transactionId);
    message.set_upstream(answer.upstream);
    return message;
}

GroupAnswer fromMessage(const Wire::ForwardReply& message)
{
    GroupAnswer answer;
    if (!message.error().empty())
        answer = errorAnswer(Model::errorCodeFromName(message.error()), message.message());
    answer.result = message.result();
    answer.position = { message.term(), message.position() };
    answer.transactionId = message.transaction_id();
    answer.upstream = message.upstream();
    return answer;
}

}
