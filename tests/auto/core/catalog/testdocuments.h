#pragma once

#include "core/catalog/document.h"
#include "core/catalog/fault.h"

#include <string>

namespace TestDocuments {

/// Text with the form of a key hash, different for each number.
std::string keyHash(int number);

/// A document without faults: 3 zones, `services` services of 3 upstreams each, 2 customers with one key
/// each, one route for each service (the first is open to all).
Catalog::Document consistent(int services = 2);

/// Whether one of the faults is about this field of this object.
bool hasFault(const Catalog::Faults& faults, Catalog::ObjectType type, const std::string& name,
    const std::string& field);

}
