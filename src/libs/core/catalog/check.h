#pragma once

#include "core/catalog/document.h"
#include "core/catalog/fault.h"

namespace Catalog {

/// Validates references, duplicates, ranges and the characters of names; returns all faults. Rules on the
/// difference from the version in force are left to `checkChange`.
Faults check(const Document& document);

}
