#pragma once

#include "core/catalog/document.h"
#include "core/model/time.h"

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace Catalog {

/// Records when the members of each service last changed, as observed by this host; each later observation
/// only makes the rule on member changes stricter, so it needs no clock that hosts share. Used on the
/// thread that adopts versions.
class MemberChangeLog {
public:
    /// Time between two changes to the members of one service.
    static constexpr Model::Duration minInterval = Model::Duration(std::chrono::seconds(60));

    /// The host adopts `next` after `previous` (nullptr: after a start).
    void adopt(const Document* previous, const Document& next, Model::Time now);
    /// The store reported that the version in force here is the current one. `now` is when it was asked.
    void confirm(Model::Time now);

    /// Time until the members of a service may change; zero if they may.
    Model::Duration serviceWait(std::string_view service, Model::Time now) const;
    /// Time until a database that left a service may join another one; zero if it may.
    Model::Duration addressWait(std::string_view address, Model::Time now) const;

private:
    using Times = std::unordered_map<std::string, Model::Time>;

    void recordChanges(const Document& previous, const Document& next, Model::Time now);
    Model::Duration wait(const Times& times, std::string_view name, Model::Time now) const;

    /// Changes before are not known to this host, so all services count as changed then.
    std::optional<Model::Time> m_knownSince;
    /// The version in force here was the current one then.
    std::optional<Model::Time> m_lastConfirmed;
    Times m_services;
    Times m_addresses;
};

}
