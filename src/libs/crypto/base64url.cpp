#include "crypto/base64url.h"

#include <algorithm>

#include <gnutls/gnutls.h>

namespace Crypto {

namespace {

    gnutls_datum_t datum(std::string_view bytes)
    {
        // GnuTLS does not change its input, although its type is a pointer to mutable bytes.
        auto* data = reinterpret_cast<unsigned char*>(const_cast<char*>(bytes.data()));
        return { data, static_cast<unsigned>(bytes.size()) };
    }

    /// Copies `result` and releases its memory, which GnuTLS allocated.
    std::string takeString(gnutls_datum_t& result)
    {
        std::string text(reinterpret_cast<const char*>(result.data), result.size);
        gnutls_free(result.data);
        return text;
    }

    bool isBase64UrlCharacter(char c)
    {
        return (c >= 'A' && c <= 'Z') || (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-'
            || c == '_';
    }

}

std::string toBase64Url(std::string_view bytes)
{
    if (bytes.empty())
        return {};
    const gnutls_datum_t input = datum(bytes);
    gnutls_datum_t result {};
    if (gnutls_base64_encode2(&input, &result) < 0)
        return {};
    std::string text = takeString(result);
    std::erase(text, '=');
    std::ranges::replace(text, '+', '-');
    std::ranges::replace(text, '/', '_');
    return text;
}

std::optional<std::string> fromBase64Url(std::string_view text)
{
    if (text.empty())
        return std::string();
    if (!std::ranges::all_of(text, isBase64UrlCharacter) || text.size() % 4 == 1)
        return std::nullopt;
    std::string padded(text);
    std::ranges::replace(padded, '-', '+');
    std::ranges::replace(padded, '_', '/');
    padded.append((4 - padded.size() % 4) % 4, '=');
    const gnutls_datum_t input = datum(padded);
    gnutls_datum_t result {};
    if (gnutls_base64_decode2(&input, &result) < 0)
        return std::nullopt;
    return takeString(result);
}

std::string toHex(std::string_view bytes)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(bytes.size() * 2);
    for (const char c : bytes) {
        const auto byte = static_cast<unsigned char>(c);
        text.push_back(digits[byte >> 4U]);
        text.push_back(digits[byte & 15U]);
    }
    return text;
}

}
