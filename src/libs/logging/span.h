#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Logging {

/// The context of a trace as carried by the W3C `traceparent` header.
struct TraceContext {
    /// 32 lower-case hexadecimal digits.
    std::string traceId;
    /// 16 lower-case hexadecimal digits.
    std::string spanId;
    bool isSampled = true;
};

/// Nothing if the header is malformed.
std::optional<TraceContext> parseTraceparent(std::string_view header);
std::string formatTraceparent(const TraceContext& context);

/// One hop of a request. Writes the event `span_finished` when it is destroyed; used on one thread.
class Span {
public:
    /// Continues `parent`, or starts a trace of its own without one.
    Span(std::string_view name, const std::optional<TraceContext>& parent);
    ~Span();
    Span(const Span&) = delete;
    Span& operator=(const Span&) = delete;

    const TraceContext& context() const { return m_context; }
    void setStatus(std::string_view status) { m_status = status; }

private:
    std::string m_name;
    std::string m_parentId;
    TraceContext m_context;
    std::string m_status = "ok";
    std::chrono::steady_clock::time_point m_start = std::chrono::steady_clock::now();
};

}
