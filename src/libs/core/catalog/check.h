#pragma once

#include "core/catalog/document.h"
#include "core/catalog/fault.h"

namespace Catalog {

/// Everything that is wrong with a document: references, duplicates, ranges and characters of names.
/// A document without faults may be published as far as it alone is concerned.
Faults check(const Document& document);

}
