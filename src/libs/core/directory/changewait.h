#pragma once

#include "core/model/time.h"

namespace Directory {

/// A host's place in the order of all registered hosts.
struct FleetPlace {
    /// Number of hosts, this one included; 0 if it is not known.
    int hosts = 0;
    /// Number of hosts that precede this one.
    int rank = 0;
};

/// Returns how long a host's next call waits for changes of a table. `storeTime` is the present time of the
/// store's clock, which all hosts share.
///
/// The connections of all hosts to the store may fall silent at the same time, without being closed. A host
/// learns that only at the end of its call, and learns of missed changes only from hosts that have read them.
/// So the calls of different hosts end one after the other, in short intervals, with few calls of the whole
/// fleet.
Model::Duration changeWait(FleetPlace place, Model::Duration storeTime);

}
