#pragma once

#include "core/model/result.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

namespace Catalog {

enum class ObjectType : std::uint8_t { Document, Customer, Key, Service, Upstream, Zone, Route, Limits };

/// The name used in documents and messages, for example `customer`.
std::string_view objectTypeName(ObjectType type);

/// One thing that is wrong with a document.
struct Fault {
    ObjectType type = ObjectType::Document;
    /// Name of the object, or `#INDEX` if it has none; empty for the document and the limits.
    std::string name;
    /// Empty if the fault concerns the whole object.
    std::string field;
    std::string message;

    bool operator==(const Fault&) const = default;
};

using Faults = std::vector<Fault>;

/// A value or everything that is wrong with it.
template <typename T> using Checked = tl::expected<T, Faults>;

/// One line, for example `customer "a", field "rate": must be ...`.
std::string faultText(const Fault& fault);

/// `check_failed` with one line for each fault.
Model::Error checkFailed(const Faults& faults);

}
