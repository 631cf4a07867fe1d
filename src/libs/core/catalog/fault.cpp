#include "core/catalog/fault.h"

#include <array>

namespace Catalog {

namespace {

    constexpr std::array<std::string_view, 8> typeNames { "document", "customer", "key", "service",
        "upstream", "zone", "route", "limits" };

}

std::string_view objectTypeName(ObjectType type) { return typeNames[static_cast<std::size_t>(type)]; }

std::string faultText(const Fault& fault)
{
    std::string text(objectTypeName(fault.type));
    if (!fault.name.empty())
        text += " \"" + fault.name + "\"";
    if (!fault.field.empty())
        text += ", field \"" + fault.field + "\"";
    return text + ": " + fault.message;
}

Model::Error checkFailed(const Faults& faults)
{
    std::string text;
    for (const Fault& fault : faults)
        text += (text.empty() ? "" : "\n") + faultText(fault);
    return Model::makeError(Model::ErrorCode::CheckFailed, text).value();
}

}
