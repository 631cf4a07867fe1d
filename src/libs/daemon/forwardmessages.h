#pragma once

#include "daemon/grouprequest.h"

namespace Wire {
class ForwardReply;
class ForwardRequest;
}

namespace Daemon {

/// The message carries the time left until the deadline, because hosts share no monotonic clock.
Wire::ForwardRequest toMessage(const GroupRequest& request, Model::Time now);
/// The deadline is `now` plus the time left in the message. Error: `invalid_request` if the operation is
/// unknown, the service is empty, or the time left or the maximum age exceeds its limit.
Model::Result<GroupRequest> fromMessage(const Wire::ForwardRequest& message, Model::Time now);

Wire::ForwardReply toMessage(const GroupAnswer& answer);
GroupAnswer fromMessage(const Wire::ForwardReply& message);

}
