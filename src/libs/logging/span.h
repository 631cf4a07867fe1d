#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Logging {

/// Trace context as propagated by the `traceparent` header of W3C Trace Context, version 00.
struct TraceContext {
    /// 32 lower-case hexadecimal digits.
    std::string traceId;
    /// 16 lower-case hexadecimal digits.
    std::string spanId;
    /// Whether the spans of the trace are logged.
    bool isSampled = true;
};

/// Content of the event `span_finished`: one hop of a traced request.
struct SpanRecord {
    TraceContext context;
    /// Empty for the first span of a trace.
    std::string parentId;
    /// Name of the hop, for example `session`.
    std::string hop;
    std::string status = "ok";
    /// Time between the start of the trace's first span in this process and the start of this one.
    std::chrono::microseconds start {};
    std::chrono::microseconds duration {};
    /// Id of the caller's request, or empty.
    std::string request;
    /// Name of the upstream that handled the hop, or empty.
    std::string upstream;
};

/// Decides at random, with the sample rate of the settings, whether a new trace is logged.
bool isNextTraceSampled();
/// Starts a sampled trace with random ids.
TraceContext newTrace();
/// Returns the context of a new span in the trace of `parent`.
TraceContext childOf(const TraceContext& parent);
/// Writes the event `span_finished`.
void writeSpan(const SpanRecord& record);

/// Parses a `traceparent` header. Returns `nullopt` if it is malformed or of a version other than 00.
std::optional<TraceContext> parseTraceparent(std::string_view header);
std::string formatTraceparent(const TraceContext& context);

/// Measures one hop of a request. If the trace is sampled, the destructor writes the event `span_finished`.
/// Used on one thread.
class Span {
public:
    /// Continues the trace of `parent`, or starts a new trace if there is none, sampled at the rate of the
    /// settings.
    Span(std::string_view name, const std::optional<TraceContext>& parent);
    ~Span();
    Span(const Span&) = delete;
    Span& operator=(const Span&) = delete;

    const TraceContext& context() const { return m_record.context; }
    void setStatus(std::string_view status) { m_record.status = status; }

private:
    SpanRecord m_record;
    std::chrono::steady_clock::time_point m_start = std::chrono::steady_clock::now();
};

}
