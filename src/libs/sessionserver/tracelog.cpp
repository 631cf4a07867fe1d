#include "sessionserver/tracelog.h"

#include "logging/span.h"

namespace SessionServer {

void writeTrace(const Proxy::Session& session, Proxy::ResultCode code, Model::Duration elapsed)
{
    const Proxy::Request& request = *session.request;
    if (!request.trace)
        return;
    using std::chrono::duration_cast;
    using std::chrono::microseconds;
    Logging::SpanRecord requestSpan;
    requestSpan.context = Logging::newTrace();
    requestSpan.hop = "session";
    requestSpan.status = Proxy::resultInfo(code).name;
    requestSpan.duration = duration_cast<microseconds>(elapsed);
    requestSpan.request = request.statement.id;
    Logging::writeSpan(requestSpan);
    for (const Proxy::Hop& hop : request.trace->hops()) {
        Logging::SpanRecord hopSpan;
        hopSpan.context = Logging::childOf(requestSpan.context);
        hopSpan.parentId = requestSpan.context.spanId;
        hopSpan.hop = Proxy::hopKindName(hop.kind);
        hopSpan.status = Proxy::resultInfo(hop.code).name;
        hopSpan.start = duration_cast<microseconds>(hop.startedAt - request.arrivedAt);
        hopSpan.duration = duration_cast<microseconds>(hop.endedAt - hop.startedAt);
        hopSpan.request = request.statement.id;
        hopSpan.upstream = hop.upstream;
        Logging::writeSpan(hopSpan);
    }
}

}
