#pragma once

#include "core/catalog/document.h"
#include "core/catalog/fault.h"
#include "core/catalog/memberchangelog.h"
#include "core/model/time.h"

namespace Catalog {

/// Everything that forbids to publish `next` directly after `previous`, the version in force. Both are
/// normalized and consistent. The first version of all may be published without this check.
Faults checkChange(
    const Document& previous, const Document& next, const MemberChangeLog& log, Model::Time now);

}
