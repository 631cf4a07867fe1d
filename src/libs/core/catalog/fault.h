#pragma once

#include "core/model/result.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

namespace Catalog {

enum class ObjectType : std::uint8_t { Document, Customer, Key, Service, Upstream, Zone, Route, Limits };

/// The type's name in delta entries, object ids and messages, for example `customer`.
std::string_view objectTypeName(ObjectType type);

/// A validation error of a document.
struct Fault {
    ObjectType type = ObjectType::Document;
    /// Name of the object, or `#INDEX`, its zero-based position in the list, if it has none; empty for the
    /// document and the limits.
    std::string name;
    /// Empty if the fault concerns the whole object.
    std::string field;
    std::string message;

    bool operator==(const Fault&) const = default;
};

using Faults = std::vector<Fault>;

/// A value, or the faults found in its input.
template <typename T> using Checked = tl::expected<T, Faults>;

/// Describes the fault in one line, for example `customer "a", field "rate": must be ...`.
std::string faultText(const Fault& fault);

/// Returns the error `check_failed` with one line for each fault.
Model::Error checkFailed(const Faults& faults);

}
