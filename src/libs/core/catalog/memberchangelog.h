#pragma once

#include "core/catalog/document.h"
#include "core/model/time.h"

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace Catalog {

/// Records when this host observed the last change to the members of each service. No clock shared by the
/// hosts is needed: a change is never observed before it was published, and a late observation only extends
/// the wait. Used on the thread that adopts versions.
class MemberChangeLog {
public:
    /// Minimum time between two changes to the members of one service.
    static constexpr Model::Duration minInterval = Model::Duration(std::chrono::seconds(60));

    /// Records that the host adopted `next` after `previous`, which is nullptr for the first version after a
    /// start.
    void adopt(const Document* previous, const Document& next, Model::Time now);
    /// Records that, according to the store, the version in force on this host was the current one at `now`,
    /// the time of the request.
    void confirm(Model::Time now);

    /// Time until the members of a service may change; zero if they may.
    Model::Duration serviceWait(std::string_view service, Model::Time now) const;
    /// Time until a database that was removed from a service may be added to another one; zero if it may.
    Model::Duration addressWait(std::string_view address, Model::Time now) const;

private:
    using Times = std::unordered_map<std::string, Model::Time>;

    void recordChanges(const Document& previous, const Document& next, Model::Time now);
    Model::Duration wait(const Times& times, std::string_view name, Model::Time now) const;

    /// Earlier changes are unknown to this host, so all services are considered changed at this time.
    std::optional<Model::Time> m_knownSince;
    /// When the version in force on this host was last confirmed as the current one.
    std::optional<Model::Time> m_lastConfirmed;
    Times m_services;
    Times m_addresses;
};

}
