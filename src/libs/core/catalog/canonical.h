#pragma once

#include "core/catalog/document.h"

#include <string>
#include <string_view>

namespace Catalog {

/// The JSON text of a normalized document: all fields, sorted, without white space. It is what the store
/// keeps, and equal documents have equal texts.
std::string canonicalText(const Document& document);

/// SHA-256 of a canonical text in base64url: 43 characters.
std::string textHash(std::string_view text);

}
