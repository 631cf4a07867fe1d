#include "core/proxy/hoptrace.h"

#include <array>

namespace Proxy {

namespace {

    /// In the order of the enumeration.
    constexpr std::array<std::string_view, 3> names { "queue", "upstream", "poolhost" };

}

std::string_view hopKindName(HopKind kind) { return names.at(static_cast<std::size_t>(kind)); }

void HopTrace::enter(HopKind kind, const std::string& upstream, ResultCode code, Model::Time now)
{
    end(code, now);
    m_hops.push_back({ kind, upstream, now, now, ResultCode::Complete });
}

void HopTrace::end(ResultCode code, Model::Time now)
{
    if (m_hops.empty())
        return;
    m_hops.back().endedAt = now;
    m_hops.back().code = code;
}

}
