#pragma once

#include "admin/adminserver.h"

#include <optional>
#include <string>
#include <vector>

/// Hooks that record their arguments, and return fixed values or the error that a test sets.
struct FakeAdminHooks {
    std::optional<Admin::AdminError> error;
    Admin::PublishRequest published;
    std::string checked;
    std::string called;
    int publishCount = 0;
    bool isHealthy = true;

    template <typename T> Admin::AdminResult<T> result(T value) const
    {
        return error ? Admin::AdminResult<T>(tl::unexpected(*error))
                     : Admin::AdminResult<T>(std::move(value));
    }

    void failWith(Model::ErrorCode code)
    {
        error = Admin::AdminError { Model::makeError(code).value(), {}, 0 };
    }

    Admin::AdminHooks hooks()
    {
        using namespace Admin;
        AdminHooks hooks;
        hooks.publish = [this](const PublishRequest& request) {
            ++publishCount;
            published = request;
            return result(PublishedVersion { 8, "h8" });
        };
        hooks.check = [this](const std::string& document) {
            checked = document;
            return result(std::uint64_t { 7 });
        };
        hooks.currentDocument = [] { return CurrentDocument { 7, "h", R"({"zones":[{"name":"z1"}]})" }; };
        hooks.history = [] {
            return std::vector<HistoryEntry> { { 7, "h", "n", { "zone/a", "key/b" }, 5 } };
        };
        hooks.status = [] {
            return Status { "host1", "z1", "connected", 7, 8, { { "host2", "z\x1b[2J", "alive" } },
                { { "db", "host2", "db-a", 3 } } };
        };
        hooks.setZoneState = [this](const std::string& zone, Catalog::ZoneState state) {
            called = zone + " " + std::string(stateName(state));
            return result(PublishedVersion { 8, "h8" });
        };
        hooks.grantKey = [this](const std::string& customer, const std::string& key) {
            called = customer + " " + key;
            return result(GrantedKey { "the-key", 8 });
        };
        hooks.withdrawKey = [this](const std::string& key) {
            called = key;
            return result(PublishedVersion { 8, "h8" });
        };
        hooks.metrics = [] { return std::string("requests_total 1\n"); };
        hooks.isHealthy = [this] { return isHealthy; };
        hooks.notReadyReason = [this] { return error ? std::optional(error->error) : std::nullopt; };
        return hooks;
    }
};
