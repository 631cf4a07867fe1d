#pragma once

namespace ProxyHost {

/// Names of the store tables that hosts write.
namespace Tables {
    constexpr const char* hosts = "hosts";
    constexpr const char* promotionLeases = "duties";
    /// The lease for usage reports, and the counts of the last windows.
    constexpr const char* usage = "usage";
}

}
