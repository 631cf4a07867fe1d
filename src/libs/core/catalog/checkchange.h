#pragma once

#include "core/catalog/document.h"
#include "core/catalog/fault.h"
#include "core/catalog/memberchangelog.h"
#include "core/model/time.h"

namespace Catalog {

/// All faults that prevent `next` from being published directly after `previous`, the version in force. Both
/// must be normalized and pass `check`. The very first version needs no such check.
Faults checkChange(
    const Document& previous, const Document& next, const MemberChangeLog& log, Model::Time now);

}
