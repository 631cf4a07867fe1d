#pragma once

#include "core/model/time.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Failover {

/// How long a host may send requests to primaries after it last had evidence that no fence unknown to it was
/// set. A promotion waits for this long for hosts that have not acknowledged its fence.
constexpr Model::Duration permissionDuration = std::chrono::milliseconds(1500);
/// A host reads the promotion leases and the list of hosts in the store at least this often while it holds a
/// permission. Longer than most outages of the store. A host that started less than twice this time ago reads
/// them more often: after half of the time since its start, so that its list includes the hosts that started
/// together with it.
constexpr Model::Duration maxStoreReadAge = std::chrono::seconds(22);

/// Decides whether this host may use any upstream as a primary.
///
/// On a platform that does not check fencing tokens, a primary that was replaced may continue to run
/// requests. A host therefore uses primaries only while it would have learned of a fence: it has read the
/// promotion leases in the store, or has received messages from a majority of the fleet's hosts, that were
/// sent within `permissionDuration`. A promotion in turn waits for the acknowledgements of a majority, so
/// that one of the hosts whose messages are counted here knows its fence. Used on one thread.
class PrimaryPermission {
public:
    /// Sets the hosts that are registered in the store, without this one.
    void setHosts(const std::vector<std::string>& hosts, Model::Time now);
    /// A message was received that the host cannot have sent before `sentAt`. The fences that it reports have
    /// to be applied first.
    void contacted(const std::string& host, Model::Time sentAt, Model::Time now);
    /// The promotion leases and the hosts were read by a call to the store that began at `startedAt`.
    void storeRead(Model::Time startedAt, Model::Time now);

    bool isValid(Model::Time now) const { return now < m_validUntil; }
    Model::Time validUntil() const { return m_validUntil; }
    /// Whether the store should be read now: the messages of the other hosts do not suffice, or the last
    /// read will soon be too old.
    bool needsStoreRead(Model::Time now) const;

private:
    void update(Model::Time now);
    std::optional<Model::Time> majorityHeardAt(Model::Time now) const;

    /// By host, the time before which it cannot have sent its newest message; `nullopt` before the first one.
    std::map<std::string, std::optional<Model::Time>> m_hosts;
    std::optional<Model::Time> m_firstStoreReadAt;
    std::optional<Model::Time> m_storeReadAt;
    Model::Time m_validUntil = Model::Time::min();
};

}
