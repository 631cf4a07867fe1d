#pragma once

#include "core/catalog/document.h"
#include "core/catalog/fault.h"

#include <string_view>

namespace Catalog {

/// Larger texts are refused before they are parsed. The design size takes about 1 MB.
constexpr std::size_t maxDocumentBytes = 16'777'216;

/// Reads a document from JSON text and normalizes it. Unknown, repeated and missing fields and wrong types
/// are faults; references and ranges are left to `check`.
Checked<Document> parseDocument(std::string_view json);

}
