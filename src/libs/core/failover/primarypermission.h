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
/// permission. Longer than most outages of the store.
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
    /// A message was received that the host cannot have sent before `sentAt`, and whose fences are known now.
    void contacted(const std::string& host, Model::Time sentAt, Model::Time now);
    /// The promotion leases and the hosts were read by a call to the store that began at `startedAt`.
    void storeRead(Model::Time startedAt, Model::Time now);

    bool isValid(Model::Time now) const { return now < m_validUntil; }
    Model::Time validUntil() const { return m_validUntil; }
    /// Whether the store should be read now: the messages of the other hosts do not suffice, or the last
    /// read will soon be too old.
    bool needsStoreRead(Model::Time now) const;
    /// Whether the host has been registered for long enough to be in every other host's list.
    bool isInAllLists(const std::string& host, Model::Time now) const;

private:
    struct Host {
        Model::Time knownSince;
        /// The newest message of the host cannot have been sent before this time.
        std::optional<Model::Time> heardAt;
    };

    void update(Model::Time now);
    std::optional<Model::Time> majorityHeardAt(Model::Time now) const;

    std::map<std::string, Host> m_hosts;
    /// When the first list of hosts arrived: their registration may be older.
    std::optional<Model::Time> m_listedSince;
    std::optional<Model::Time> m_storeReadAt;
    Model::Time m_validUntil = Model::Time::min();
};

}
