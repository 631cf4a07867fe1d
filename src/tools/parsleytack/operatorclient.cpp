#include "parsleytack/operatorclient.h"

#include <memory>

#include <curl/curl.h>

namespace Tool {

namespace {

    using Json = nlohmann::ordered_json;

    Reply interpret(const Http::Response& response, ReplyStatus statusIfUnanswered)
    {
        if (response.status == Http::Status::NotSent)
            return { ReplyStatus::NotReachable, nullptr, response.error };
        if (response.status == Http::Status::NoAnswer)
            return { statusIfUnanswered, nullptr, response.error };
        Json json = Json::parse(response.body, nullptr, false);
        const std::string outcome = json.is_object() ? json.value("outcome", Json()).dump() : "";
        const std::string message
            = json.is_object() && json.contains("message") && json["message"].is_string() ? json["message"]
                                                                                          : "";
        if (outcome == "\"done\"")
            return { ReplyStatus::Done, std::move(json), message };
        if (outcome == "\"not_run\"")
            return { ReplyStatus::Refused, std::move(json), message };
        if (outcome == "\"unknown\"")
            return { ReplyStatus::OutcomeUnknown, std::move(json), message };
        return { statusIfUnanswered, nullptr,
            "the response (HTTP status " + std::to_string(response.code)
                + ") does not come from parsleytackd" };
    }

}

OperatorClient::OperatorClient(
    const std::string& server, const std::string& secret, std::chrono::milliseconds timeout)
    : m_connection(server)
    , m_authorization("Authorization: Bearer " + secret)
    , m_timeout(timeout)
{
}

Reply OperatorClient::read(Http::Method method, const std::string& path, const std::string& body)
{
    return interpret(send(method, path, body), ReplyStatus::NotReachable);
}

Reply OperatorClient::change(Http::Method method, const std::string& path, const std::string& body)
{
    return interpret(send(method, path, body), ReplyStatus::OutcomeUnknown);
}

Http::Response OperatorClient::send(Http::Method method, const std::string& path, const std::string& body)
{
    Http::Request request;
    request.method = method;
    request.path = path;
    request.body = body;
    request.headers = { m_authorization };
    request.timeout = m_timeout;
    return m_connection.send(request);
}

std::string encodeForUrl(const std::string& text)
{
    const std::unique_ptr<char, void (*)(void*)> encoded(
        curl_easy_escape(nullptr, text.data(), static_cast<int>(text.size())), &curl_free);
    return encoded ? encoded.get() : "";
}

}
