#include "admin/adminrouter.h"

#include "admin/adminformat.h"
#include "crypto/digest.h"

#include <charconv>

namespace Admin {

namespace {

    using Model::ErrorCode;

    constexpr std::string_view bearerPrefix = "Bearer ";
    constexpr std::string_view zonesPrefix = "/v1/zones/";
    constexpr std::string_view keysPrefix = "/v1/keys/";
    constexpr std::size_t maxNonceLength = 64;
    constexpr int okStatus = 200;
    constexpr int unavailableStatus = 503;

    AdminResponse errorResponse(const AdminError& adminError)
    {
        return { adminError.error.info().httpStatus, "application/json", formatError(adminError) };
    }

    AdminResponse errorResponse(ErrorCode code, const std::string& message)
    {
        return errorResponse(AdminError { Model::makeError(code, message).value(), {}, 0 });
    }

    template <typename T> AdminResponse respond(const AdminResult<T>& result)
    {
        if (!result)
            return errorResponse(result.error());
        return { okStatus, "application/json", formatResponse(*result) };
    }

    bool readNumber(const std::string& text, std::uint64_t& value)
    {
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        return error == std::errc() && end == text.data() + text.size();
    }

    /// Splits `NAME/ACTION`; the action is empty if there is none.
    std::pair<std::string, std::string> splitAction(std::string_view rest)
    {
        const std::size_t slash = rest.find('/');
        if (slash == std::string_view::npos)
            return { std::string(rest), {} };
        return { std::string(rest.substr(0, slash)), std::string(rest.substr(slash + 1)) };
    }

    AdminResponse unknownPath(const AdminRequest& request)
    {
        return errorResponse(
            ErrorCode::RouteUnknown, "no such path or method: " + request.method + " " + request.path);
    }

    bool isChange(const AdminRequest& request) { return request.method != "GET"; }

}

AdminRouter::AdminRouter(std::string_view operatorSecret, std::size_t maxBodyBytes, AdminHooks hooks)
    : m_secretDigest(Crypto::sha256(operatorSecret))
    , m_maxBodyBytes(maxBodyBytes)
    , m_hooks(std::move(hooks))
{
}

AdminResponse AdminRouter::serve(const AdminRequest& request) const
{
    if (!request.path.starts_with("/v1/"))
        return serveProbe(request);
    if (request.authorization.empty())
        return errorResponse(ErrorCode::KeyMissing, "the operator secret is missing");
    if (!isAuthorized(request.authorization))
        return errorResponse(ErrorCode::KeyInvalid, "the operator secret is wrong");
    if (request.body.size() > m_maxBodyBytes)
        return errorResponse(
            ErrorCode::BodyTooLarge, "the body is larger than " + std::to_string(m_maxBodyBytes) + " bytes");
    return serveOperator(request);
}

bool AdminRouter::isAuthorized(std::string_view authorization) const
{
    return authorization.starts_with(bearerPrefix)
        && Crypto::isEqualConstantTime(
            Crypto::sha256(authorization.substr(bearerPrefix.size())), m_secretDigest);
}

AdminResponse AdminRouter::serveProbe(const AdminRequest& request) const
{
    if (isChange(request))
        return unknownPath(request);
    if (request.path == "/healthz") {
        const bool isHealthy = m_hooks.isHealthy();
        return { isHealthy ? okStatus : unavailableStatus, "text/plain", isHealthy ? "ok\n" : "failed\n" };
    }
    if (request.path == "/readyz") {
        const std::optional<Model::Error> reason = m_hooks.notReadyReason();
        // A host that is not ready always gives status 503, whatever status the error code has in other
        // responses.
        if (reason)
            return { unavailableStatus, "application/json", formatError({ *reason, {}, 0 }) };
        return { okStatus, "application/json", "{\"outcome\":\"done\"}" };
    }
    if (request.path == "/metrics")
        return { okStatus, "text/plain; version=0.0.4", m_hooks.metrics() };
    return unknownPath(request);
}

AdminResponse AdminRouter::serveOperator(const AdminRequest& request) const
{
    const std::string target = request.method + " " + request.path;
    if (target == "PUT /v1/document")
        return publish(request);
    if (target == "POST /v1/check")
        return respond(m_hooks.check(request.body));
    if (target == "GET /v1/document")
        return respond(m_hooks.currentDocument());
    if (target == "GET /v1/history")
        return respond(m_hooks.history());
    if (target == "GET /v1/status")
        return { okStatus, "application/json", formatResponse(m_hooks.status()) };
    if (request.path.starts_with(zonesPrefix))
        return serveZone(request);
    if (request.path.starts_with(keysPrefix))
        return serveKey(request);
    return unknownPath(request);
}

AdminResponse AdminRouter::publish(const AdminRequest& request) const
{
    PublishRequest publication { request.body, 0, request.parameter("nonce"), false };
    if (!readNumber(request.parameter("expected"), publication.expectedVersion))
        return errorResponse(ErrorCode::InvalidRequest, "parameter \"expected\" must be a version number");
    if (publication.nonce.empty() || publication.nonce.size() > maxNonceLength)
        return errorResponse(ErrorCode::InvalidRequest, "parameter \"nonce\" must have 1 to 64 characters");
    const std::string repeat = request.parameter("repeat");
    if (!repeat.empty() && repeat != "true" && repeat != "false")
        return errorResponse(ErrorCode::InvalidRequest, "parameter \"repeat\" must be true or false");
    publication.isRepeat = repeat == "true";
    return respond(m_hooks.publish(publication));
}

AdminResponse AdminRouter::serveZone(const AdminRequest& request) const
{
    const auto [zone, action] = splitAction(std::string_view(request.path).substr(zonesPrefix.size()));
    Catalog::ZoneState state {};
    if (request.method != "PUT" || zone.empty() || !setStateFromName(action, state))
        return unknownPath(request);
    return respond(m_hooks.setZoneState(zone, state));
}

AdminResponse AdminRouter::serveKey(const AdminRequest& request) const
{
    const auto [key, action] = splitAction(std::string_view(request.path).substr(keysPrefix.size()));
    if (key.empty())
        return unknownPath(request);
    if (request.method == "PUT" && action == "withdrawn")
        return respond(m_hooks.withdrawKey(key));
    if (request.method != "POST" || !action.empty())
        return unknownPath(request);
    const std::string customer = request.parameter("customer");
    if (customer.empty())
        return errorResponse(ErrorCode::InvalidRequest, "parameter \"customer\" is missing");
    return respond(m_hooks.grantKey(customer, key));
}

}
