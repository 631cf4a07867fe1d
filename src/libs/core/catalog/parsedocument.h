#pragma once

#include "core/catalog/document.h"
#include "core/catalog/fault.h"

#include <string_view>

namespace Catalog {

/// Larger texts are rejected before they are parsed. A document of the design size takes less than 1 MB, and
/// a parsed text of this size stays well within the control plane's 128 MB.
constexpr std::size_t maxDocumentBytes = 4'194'304;
/// Maximum size, in bytes, of the fields of a version other than its document.
constexpr std::size_t maxEnvelopeBytes = 1024;
/// Maximum number of faults that are listed; one more then states that there are others.
constexpr std::size_t maxParseFaults = 1000;

/// Parses a document from JSON text and normalizes it. Unknown, repeated and missing fields and wrong types
/// are faults; references and ranges are left to `check`.
Checked<Document> parseDocument(std::string_view json);

}
