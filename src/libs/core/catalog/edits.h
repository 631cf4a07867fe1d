#pragma once

#include "core/catalog/document.h"
#include "core/catalog/fault.h"

#include <string>

namespace Catalog {

/// The document with one zone in another state. Faults if there is no such zone.
Checked<Document> withZoneState(Document document, const std::string& zone, ZoneState state);
/// The document with one more key. Faults if the name is taken.
Checked<Document> withKey(Document document, Key key);
/// The document with one key withdrawn. Faults if there is no such key.
Checked<Document> withKeyWithdrawn(Document document, const std::string& key);

}
