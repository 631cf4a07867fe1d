#include "caller.h"

#include <algorithm>
#include <utility>

#include <curl/curl.h>
#include <sys/socket.h>

namespace Integration {

namespace {

    // The entry host responds at the request's deadline; the client waits longer, so that it receives that
    // response.
    constexpr int clientMarginMs = 5000;

    std::size_t appendData(char* data, std::size_t size, std::size_t count, void* target)
    {
        static_cast<std::string*>(target)->append(data, size * count);
        return size * count;
    }

    curl_socket_t openSocket(void* socketsAllowed, curlsocktype, curl_sockaddr* address)
    {
        if ((*static_cast<int*>(socketsAllowed))-- <= 0)
            return CURL_SOCKET_BAD;
        return socket(address->family, address->socktype | SOCK_CLOEXEC, address->protocol);
    }

    /// Returns the value of a header, or an empty string. `name` must be in lower case and end with a colon.
    std::string findHeader(const std::string& headers, std::string_view name)
    {
        std::string lower = headers;
        std::ranges::transform(lower, lower.begin(), [](unsigned char c) { return std::tolower(c); });
        const std::size_t start = lower.find("\n" + std::string(name));
        if (start == std::string::npos)
            return {};
        const std::size_t value = headers.find_first_not_of(' ', start + 1 + name.size());
        return headers.substr(value, headers.find('\r', value) - value);
    }

}

std::string Reply::code() const
{
    return body.is_object() ? body.value("code", std::string()) : std::string();
}

std::string Reply::outcome() const
{
    if (status == 0)
        return isUnsent ? "not_run" : "unknown";
    return body.is_object() ? body.value("outcome", std::string()) : std::string();
}

Reply HttpClient::send(const std::string& method, const std::string& host, const std::string& path,
    const std::string& body, const std::vector<std::string>& headers, std::chrono::milliseconds timeout)
{
    Connection& connection = m_connections[host];
    if (!connection.isOpen)
        connection.curl = { curl_easy_init(), curl_easy_cleanup };
    CURL* curl = connection.curl.get();
    const bool isReused = std::exchange(connection.isOpen, false);
    // libcurl repeats a request, even a POST, if a reused connection turns out to be closed. Denying it a new
    // socket prevents that.
    connection.socketsAllowed = isReused ? 0 : 1;
    std::string content;
    std::string responseHeaders;
    curl_slist* list = curl_slist_append(nullptr, "Expect:");
    for (const std::string& header : headers)
        list = curl_slist_append(list, header.c_str());
    curl_easy_setopt(curl, CURLOPT_URL, ("http://" + host + path).c_str());
    curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, method.c_str());
    curl_easy_setopt(curl, CURLOPT_HTTPHEADER, list);
    curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, static_cast<long>(timeout.count()));
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, appendData);
    curl_easy_setopt(curl, CURLOPT_WRITEDATA, &content);
    curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, appendData);
    curl_easy_setopt(curl, CURLOPT_HEADERDATA, &responseHeaders);
    curl_easy_setopt(curl, CURLOPT_OPENSOCKETFUNCTION, openSocket);
    curl_easy_setopt(curl, CURLOPT_OPENSOCKETDATA, &connection.socketsAllowed);
    curl_easy_setopt(curl, CURLOPT_HTTPGET, method == "GET" ? 1L : 0L);
    if (method != "GET") {
        curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body.c_str());
        curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE, static_cast<long>(body.size()));
    }
    const CURLcode code = curl_easy_perform(curl);
    curl_slist_free_all(list);
    Reply reply;
    reply.isUnsent = !isReused && code == CURLE_COULDNT_CONNECT;
    if (code != CURLE_OK)
        return reply;
    long status = 0;
    curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
    reply.status = static_cast<int>(status);
    reply.body = Json::parse(content, nullptr, false);
    reply.text = std::move(content);
    reply.session = findHeader(responseHeaders, "parsleytack-session:");
    connection.isOpen = findHeader(responseHeaders, "connection:") != "close";
    return reply;
}

Reply fetch(const std::string& method, const std::string& host, const std::string& path,
    const std::string& body, const std::vector<std::string>& headers)
{
    return HttpClient().send(method, host, path, body, headers);
}

Caller::Caller(std::string key)
    : m_key(std::move(key))
{
}

Reply Caller::write(const std::string& host, const std::string& sql, const Options& options)
{
    return post(host, route + "/statement", Json { { "sql", sql }, { "write", true } }.dump(), options);
}

Reply Caller::read(const std::string& host, const std::string& sql, const Options& options)
{
    Json body { { "sql", sql } };
    if (options.maxAgeMs >= 0)
        body["maxAgeMs"] = options.maxAgeMs;
    return post(host, route + "/statement", body.dump(), options);
}

Reply Caller::post(const std::string& host, const std::string& path, const std::string& body,
    const Options& options, std::vector<std::string> headers)
{
    if (!m_key.empty())
        headers.push_back("Authorization: Bearer " + m_key);
    if (!token.empty())
        headers.push_back("Parsleytack-Session: " + token);
    if (!options.requestId.empty())
        headers.push_back("Parsleytack-Request-Id: " + options.requestId);
    headers.push_back("Parsleytack-Timeout-Ms: " + std::to_string(options.timeoutMs));
    Reply reply = m_client.send("POST", host, "/v1/" + path, body, headers,
        std::chrono::milliseconds(options.timeoutMs + clientMarginMs));
    if (!reply.session.empty())
        token = reply.session;
    return reply;
}

std::string valueOf(const Reply& reply)
{
    const Json none = Json::array();
    if (!reply.isDone() || !reply.body.contains("result"))
        return {};
    const Json rows = reply.body["result"].value("rows", none);
    return rows.empty() ? std::string() : rows[0].value("value", std::string());
}

}
