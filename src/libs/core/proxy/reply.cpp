#include "core/proxy/reply.h"

namespace Proxy {

Reply localReply(TransactionState state, Model::LogPosition position)
{
    Reply reply;
    reply.state = state;
    reply.position = position;
    return reply;
}

Reply errorReply(ResultCode code, std::string_view text, TransactionState state)
{
    Reply reply;
    reply.code = code;
    reply.text = std::string(text);
    reply.state = state;
    return reply;
}

}
