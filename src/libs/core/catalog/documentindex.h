#pragma once

#include <algorithm>
#include <string_view>
#include <vector>

namespace Catalog::Internal {

/// Returns the object with this name in a list that is sorted by name, or nullptr.
template <typename Object> const Object* findByName(const std::vector<Object>& objects, std::string_view name)
{
    const auto found = std::ranges::lower_bound(objects, name, {}, &Object::name);
    return found != objects.end() && found->name == name ? &*found : nullptr;
}

}
