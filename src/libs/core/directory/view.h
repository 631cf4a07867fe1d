#pragma once

#include "core/directory/configuration.h"
#include "core/directory/upstream.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Directory {

/// An upstream that is no longer registered, with its last entry.
struct FormerUpstream {
    Upstream upstream;
    Model::Time removedAt;
};

/// A host's view of the configuration, the upstreams and the zones out of service. Used on one thread.
class View {
public:
    /// Puts a configuration in force unless one of the same or a higher version is in force. Returns whether
    /// it did.
    bool adopt(std::shared_ptr<const Configuration> configuration);
    /// Null until the first configuration is adopted.
    const std::shared_ptr<const Configuration>& configuration() const { return m_configuration; }

    /// Adds or replaces an upstream. One that had its address before is gone for good.
    void setUpstream(Upstream upstream);
    /// Removes an upstream, which may still run: its entry may have expired because it does not reach the
    /// store. It is remembered for some minutes.
    void removeUpstream(const std::string& id, Model::Time now);
    const Upstream* findUpstream(std::string_view id) const;
    /// A removed upstream that is remembered, or null.
    const FormerUpstream* findFormerUpstream(std::string_view id) const;
    /// The remembered upstreams of a service in ascending order of their ids.
    std::vector<const FormerUpstream*> formerUpstreamsOf(std::string_view service) const;
    const std::map<std::string, Upstream, std::less<>>& upstreams() const { return m_upstreams; }
    /// The upstreams of a service in ascending order of their ids.
    std::vector<const Upstream*> upstreamsOf(std::string_view service) const;
    /// The primary of a service, or null. The entry of a crashed primary still announces the role for a
    /// while, so that the newest announcement counts. Upstreams that may
    /// not be the primary are left out.
    const Upstream* primaryOf(std::string_view service) const;
    /// Whether new work may be sent to the upstream.
    bool acceptsWork(const Upstream& upstream) const;

    /// Restricts the primary of a service to one upstream, or to none if `upstream` is empty. Without this
    /// call, any upstream may be the primary.
    void restrictPrimary(const std::string& service, const std::string& upstream);
    bool isPrimaryAllowed(std::string_view service, std::string_view upstream) const;

    void setZoneOut(const std::string& zone) { m_zonesOut.insert(zone); }
    void setZoneIn(const std::string& zone) { m_zonesOut.erase(zone); }
    bool isZoneOut(const std::string& zone) const { return m_zonesOut.contains(zone); }
    const std::set<std::string>& zonesOut() const { return m_zonesOut; }

private:
    struct RemovedPrimary {
        std::int64_t startedAt = 0;
        std::uint64_t primarySince = 0;
    };

    std::optional<std::uint64_t> knownPrimarySince(const Upstream& upstream) const;

    std::shared_ptr<const Configuration> m_configuration;
    std::map<std::string, Upstream, std::less<>> m_upstreams;
    /// Former primaries by id. Their entries may appear again without being newer, if the store is restored
    /// from an older copy.
    std::map<std::string, RemovedPrimary, std::less<>> m_removedPrimaries;
    std::map<std::string, FormerUpstream, std::less<>> m_formerUpstreams;
    std::set<std::string> m_zonesOut;
    /// The only upstream that may be the primary, by service.
    std::map<std::string, std::string, std::less<>> m_allowedPrimaries;
};

}
