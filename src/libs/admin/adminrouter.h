#pragma once

#include "admin/adminhooks.h"

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace Admin {

/// An HTTP request as the router sees it.
struct AdminRequest {
    std::string method;
    /// Without the query.
    std::string path;
    /// Value of a query parameter; empty if it is missing.
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
    /// Larger bodies are refused with `body_too_large`.
    AdminRouter(std::string_view operatorSecret, std::size_t maxBodyBytes, AdminHooks hooks);

    AdminResponse serve(const AdminRequest& request) const;

private:
    AdminResponse serveProbe(const AdminRequest& request) const;
    AdminResponse serveOperator(const AdminRequest& request) const;
    AdminResponse publish(const AdminRequest& request) const;
    AdminResponse serveZone(const AdminRequest& request) const;
    AdminResponse serveKey(const AdminRequest& request) const;
    bool isAuthorized(std::string_view authorization) const;

    /// Digest of the secret; digests have one length, so that comparing them does not show the secret's.
    std::string m_secretDigest;
    std::size_t m_maxBodyBytes;
    AdminHooks m_hooks;
};

}
