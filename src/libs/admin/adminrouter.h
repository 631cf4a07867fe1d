#pragma once

#include "admin/adminhooks.h"

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace Admin {

/// The parts of an HTTP request that the router reads.
struct AdminRequest {
    std::string method;
    /// Without the query.
    std::string path;
    /// Returns the value of a query parameter; empty if it is missing.
    std::function<std::string(const std::string& name)> parameter;
    /// Value of the header `Authorization`; empty if it is missing.
    std::string authorization;
    std::string body;
};

struct AdminResponse {
    int status = 200;
    std::string contentType = "application/json";
    std::string body;
};

/// Checks the operator secret and dispatches requests to the hooks. Immutable; any thread may use it.
class AdminRouter {
public:
    /// Bodies larger than `maxBodyBytes` are rejected with `body_too_large`.
    AdminRouter(std::string_view operatorSecret, std::size_t maxBodyBytes, AdminHooks hooks);

    AdminResponse serve(const AdminRequest& request) const;

private:
    AdminResponse serveProbe(const AdminRequest& request) const;
    AdminResponse serveOperator(const AdminRequest& request) const;
    AdminResponse publish(const AdminRequest& request) const;
    AdminResponse serveZone(const AdminRequest& request) const;
    AdminResponse serveKey(const AdminRequest& request) const;
    bool isAuthorized(std::string_view authorization) const;

    /// SHA-256 of the secret. All digests have the same length, so comparing them does not reveal the length
    /// of the secret.
    std::string m_secretDigest;
    std::size_t m_maxBodyBytes;
    AdminHooks m_hooks;
};

}
