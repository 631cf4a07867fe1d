#pragma once

#include "daemon/grouprequest.h"

namespace Wire {
class ForwardReply;
class ForwardRequest;
}

namespace Daemon {

Wire::ForwardRequest toMessage(const GroupRequest& request, Model::Time now);
/// Error: `invalid_request` for values that no host sends.
Model::Result<GroupRequest> fromMessage(const Wire::ForwardRequest& message, Model::Time now);

Wire::ForwardReply toMessage(const GroupAnswer& answer);
GroupAnswer fromMessage(const Wire::ForwardReply& message);

}
