#pragma once

#include "core/catalog/document.h"
#include "core/catalog/fault.h"

#include <string_view>

namespace Catalog {

/// Larger texts are refused before they are parsed. The design size takes less than 1 MB, and a parsed text
/// of this size stays well within the control plane's 128 MB.
constexpr std::size_t maxDocumentBytes = 4'194'304;
/// Bytes that a version has beside its document.
constexpr std::size_t maxEnvelopeBytes = 1024;
/// More faults than this are not listed one by one.
constexpr std::size_t maxParseFaults = 1000;

/// Reads a document from JSON text and normalizes it. Unknown, repeated and missing fields and wrong types
/// are faults; references and ranges are left to `check`.
Checked<Document> parseDocument(std::string_view json);

}
