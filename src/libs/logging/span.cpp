#include "logging/span.h"

#include "logging/log.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <random>

namespace Logging {

namespace {

    constexpr std::size_t traceIdDigits = 32;
    constexpr std::size_t spanIdDigits = 16;
    constexpr std::size_t traceparentSize = 55;

    bool isLowerHex(std::string_view text)
    {
        return std::ranges::all_of(
            text, [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); });
    }

    std::mt19937_64& threadGenerator()
    {
        thread_local std::mt19937_64 generator(std::random_device {}());
        return generator;
    }

    bool isSampledAt(double rate)
    {
        return std::uniform_real_distribution<double>()(threadGenerator()) < rate;
    }

    /// 64 random bits as 16 hexadecimal digits. The lowest bit is set, since an id of zeros is invalid.
    std::string randomHex64()
    {
        std::array<char, spanIdDigits + 1> text {};
        std::snprintf(
            text.data(), text.size(), "%016llx", static_cast<unsigned long long>(threadGenerator()() | 1U));
        return { text.data(), spanIdDigits };
    }

}

std::optional<TraceContext> parseTraceparent(std::string_view header)
{
    if (header.size() != traceparentSize || header.substr(0, 3) != "00-" || header[35] != '-'
        || header[52] != '-')
        return std::nullopt;
    const std::string_view traceId = header.substr(3, traceIdDigits);
    const std::string_view spanId = header.substr(36, spanIdDigits);
    const std::string_view flags = header.substr(53);
    if (!isLowerHex(traceId) || !isLowerHex(spanId) || !isLowerHex(flags))
        return std::nullopt;
    if (traceId.find_first_not_of('0') == std::string_view::npos
        || spanId.find_first_not_of('0') == std::string_view::npos)
        return std::nullopt;
    // The lowest bit of the flags is `sampled`.
    const bool isSampled = std::string_view("13579bdf").find(flags[1]) != std::string_view::npos;
    return TraceContext { std::string(traceId), std::string(spanId), isSampled };
}

std::string formatTraceparent(const TraceContext& context)
{
    return "00-" + context.traceId + "-" + context.spanId + (context.isSampled ? "-01" : "-00");
}

bool isNextTraceSampled() { return isSampledAt(currentSettings().traceSampleRate); }

TraceContext newTrace() { return { randomHex64() + randomHex64(), randomHex64(), true }; }

TraceContext childOf(const TraceContext& parent)
{
    return { parent.traceId, randomHex64(), parent.isSampled };
}

void writeSpan(const SpanRecord& record)
{
    write(EventId::SpanFinished,
        { { "trace", record.context.traceId }, { "span", record.context.spanId },
            { "parent", record.parentId }, { "hop", record.hop }, { "status", record.status },
            { "startUs", std::to_string(record.start.count()) },
            { "us", std::to_string(record.duration.count()) }, { "request", record.request },
            { "upstream", record.upstream } });
}

Span::Span(std::string_view name, const std::optional<TraceContext>& parent)
{
    m_record.context = parent ? childOf(*parent) : newTrace();
    if (!parent)
        m_record.context.isSampled = isNextTraceSampled();
    m_record.parentId = parent ? parent->spanId : std::string();
    m_record.hop = name;
}

Span::~Span()
{
    if (!m_record.context.isSampled)
        return;
    m_record.duration
        = std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::steady_clock::now() - m_start);
    writeSpan(m_record);
}

}
