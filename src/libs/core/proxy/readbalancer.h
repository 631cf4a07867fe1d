#pragma once

#include "core/directory/upstream.h"
#include "core/proxy/session.h"
#include "core/proxy/upstreamload.h"
#include "core/proxy/zonechoice.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Proxy {

/// An upstream that may run a read, with what the router knows of it.
struct ReadOption {
    const Directory::Upstream* upstream = nullptr;
    bool isPrimary = false;
    /// This host gets no responses from it.
    bool isUnreachable = false;
    /// Statements of this host in progress there.
    int inUse = 0;
    /// Time until the upstream can begin: to open a connection, or to receive the required position.
    Model::Duration delay {};

    // Set by `ReadBalancer`.
    Model::Duration expected {};
    const UpstreamLoad* load = nullptr;
    /// Position in the order of the request.
    double key = 0;
};

enum class BalanceChange { ZoneLeft, ZoneReturned, SetAside, TakenBack };

/// Divides the reads of this host between the upstreams of a service, by expected time and failures. Two
/// calls for one request give the same order unless the observations have changed. Used on one thread.
class ReadBalancer {
public:
    /// Called with each change. `subject` is the service, or the upstream; `inputs` is what it was based on.
    using ChangeHook
        = std::function<void(BalanceChange, const std::string& subject, const std::string& inputs)>;

    ReadBalancer(std::string zone, ChangeHook changed);

    /// Removes the options that the request should not use now, and orders the others, best first.
    void rank(
        std::vector<ReadOption>& options, const Session& session, const Request& request, Model::Time now);

    /// Records that a statement was sent to the upstream.
    void sent(const std::string& upstream, Model::Time now);
    /// Records the answer to a statement.
    void answered(const Directory::Upstream& upstream, ResultCode code, Model::Time sentAt, Model::Time now);
    /// Records that a connection broke or did not respond in time.
    void lost(const Directory::Upstream& upstream, Model::Time now);
    /// Records the time to the answer of any message.
    void observeRoundTrip(const std::string& upstream, Model::Duration time, Model::Time now);

    /// Removes what was observed of upstreams that no longer exist.
    void retain(const std::function<bool(const std::string& upstream)>& exists);

    const UpstreamLoad* load(const std::string& upstream) const;
    /// Share of the service's reads that leave the zone.
    double shareLeaving(const std::string& service) const;

private:
    struct Entry {
        std::string service;
        std::int64_t startedAt = 0;
        UpstreamLoad load;
        /// The session whose request is the current probe, and when that ends.
        SessionId probeSession = 0;
        Model::Time probeUntil;
    };

    struct ZoneEntry {
        ZoneChoice choice;
        // Since the last update:
        /// Longest wait of a request that stays in the zone, and of one that leaves it.
        Model::Duration waitHere {};
        Model::Duration waitThere {};
        /// Lowest target latency of the requests.
        std::optional<Model::Duration> target;
    };

    Entry& entryOf(const Directory::Upstream& upstream, Model::Time now);
    double otherFailureRatio(const Directory::Upstream& upstream) const;
    bool takeProbe(
        std::vector<ReadOption>& options, const Session& session, const Request& request, Model::Time now);
    bool leavesZone(const std::vector<ReadOption>& options, const Session& session, const Request& request,
        Model::Time now);
    void updateZone(const std::string& service, ZoneEntry& zone, const ReadOption& here,
        const ReadOption& there, Model::Duration timeHere, Model::Duration timeThere, Model::Time now) const;
    void report(LoadChange change, const Directory::Upstream& upstream, const UpstreamLoad& load) const;

    std::string m_zone;
    ChangeHook m_changed;
    std::unordered_map<std::string, Entry> m_entries;
    std::unordered_map<std::string, ZoneEntry> m_zones;
};

}
