#pragma once

#include "core/directory/view.h"
#include "core/failover/primaryfences.h"
#include "core/failover/primarypermission.h"
#include "core/failover/sendtimes.h"
#include "proxyhost/platformworker.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace EventLoop {
class Loop;
}

namespace ProxyHost {

/// The part of a host's report from which the others learn which primaries may be used.
struct FenceReport {
    /// When the report was sent, on the clock of its sender. `nullopt` if the sender may not know all
    /// allowed primaries.
    std::optional<Model::Time> sentAt;
    std::vector<Failover::Receipt> receipts;
    std::vector<Failover::AllowedPrimary> primaries;
};

/// Keeps this host from using a primary that is being replaced, on a platform whose promotions do not take
/// the role from it: holds the permission to use primaries, exchanges the allowed primaries with the other
/// hosts and reads them from the store. Used on the loop's thread.
class PrimaryGuard {
public:
    /// `endUses` is called when the use of a primary may have become disallowed, `publish` when the other
    /// hosts should learn of a change at once.
    struct Hooks {
        std::function<void()> endUses;
        std::function<void()> publish;
    };

    PrimaryGuard(
        EventLoop::Loop& loop, Directory::View& view, PlatformCalls calls, std::string self, Hooks hooks);

    /// Whether this host may use primaries now.
    bool mayUsePrimaries(Model::Time now) const { return m_permission.isValid(now); }
    /// The host is registered in the store, with this incarnation. No permission is held before.
    void registered(std::uint64_t incarnation);
    /// Sets the hosts that are registered in the store.
    void setHosts(const std::vector<std::string>& hosts, Model::Time now);
    /// From now on this host's reports are no evidence for others, which may no longer count it.
    void shutDown() { m_isShuttingDown = true; }
    /// The fence part of the report with this sequence number.
    FenceReport takeReport(std::uint64_t sequence, Model::Time now);
    void receive(const std::string& host, std::uint64_t incarnation, std::uint64_t sequence,
        const FenceReport& report, Model::Time now);
    /// This host has acquired a promotion lease, or has changed the allowed primary in its row.
    void leaseWritten(const AcquiredLease& lease, Model::Time now);
    /// Whether no host uses a primary any more of a service whose lease this host has acquired with a fence.
    bool isFenceEffective(const std::string& service, Model::Time now);
    /// The store was restored from an older copy, so that it may have lost allowed primaries.
    void storeRestored(Model::Time now);
    /// Reads the store if the permission requires it, and acts on the end of the permission. Has to be called
    /// several times a second.
    void update(Model::Time now);

private:
    bool apply(const Failover::AllowedPrimary& primary, Model::Time now);
    void readStore(Model::Time now);
    void restoreLost(const FenceState& state);
    void storeRead(const FenceState& state, Model::Time startedAt, Model::Time now);

    std::string m_self;
    Hooks m_hooks;
    PlatformWorker m_worker;
    Failover::SendTimes m_sendTimes;
    Failover::PrimaryPermission m_permission;
    Failover::PrimaryFences m_fences;
    std::uint64_t m_incarnation = 0;
    bool m_isShuttingDown = false;
    /// The hosts whose acknowledgements a promotion of this host needs, by service.
    std::map<std::string, Failover::AwaitedHosts> m_awaitedHosts;
    bool m_hasReadStore = false;
    bool m_isReadingStore = false;
    std::optional<Model::Time> m_readStartedAt;
    bool m_hadPermission = false;
};

}
