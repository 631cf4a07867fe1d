#include "core/catalog/version.h"

#include "core/catalog/jsonreader.h"
#include "core/catalog/jsonwriter.h"
#include "core/catalog/parsedocument.h"
#include "crypto/base64url.h"
#include "crypto/digest.h"

namespace Catalog {

namespace {

    using Internal::Json;

    class DocumentWriter {
    public:
        template <typename Object>
        void list(const char* field, ObjectType, const std::vector<Object>& objects)
        {
            if (objects.empty())
                return;
            Json items = Json::array();
            for (const Object& object : objects)
                items.push_back(Internal::writeObject(object));
            json[field] = std::move(items);
        }

        Json json = Json::object();
    };

    Json documentJson(const Document& document)
    {
        DocumentWriter writer;
        Internal::visitLists(writer, document);
        Json limits = Internal::writeObject(document.limits);
        if (!limits.empty())
            writer.json["limits"] = std::move(limits);
        return std::move(writer.json);
    }

    tl::unexpected<Faults> versionFault(std::string field, std::string message)
    {
        return tl::unexpected<Faults>(
            Faults { { ObjectType::Document, {}, std::move(field), std::move(message) } });
    }

    /// Reads a field of a version or a row; returns false if it is missing or has another type.
    bool readText(const Json& json, const char* field, std::string& value)
    {
        const auto found = json.find(field);
        if (found == json.end() || !found->is_string())
            return false;
        value = found->get<std::string>();
        return true;
    }

    bool readNumber(const Json& json, const char* field, std::uint64_t& value)
    {
        const auto found = json.find(field);
        if (found == json.end() || !found->is_number_unsigned())
            return false;
        value = found->get<std::uint64_t>();
        return true;
    }

}

std::string canonicalText(const Document& document) { return Internal::jsonText(documentJson(document)); }

std::string canonicalText(const Version& version)
{
    return Internal::jsonText({ { "version", version.number }, { "previousHash", version.previousHash },
        { "nonce", version.nonce }, { "document", documentJson(version.document) } });
}

std::string textHash(std::string_view text) { return Crypto::toBase64Url(Crypto::sha256(text)); }

std::string versionHash(const Version& version) { return textHash(canonicalText(version)); }

Checked<Version> parseVersion(std::string_view json)
{
    if (json.size() > maxDocumentBytes + maxEnvelopeBytes)
        return versionFault({}, "the text of the version is too large");
    std::string problem;
    const std::optional<Json> parsed = Internal::parseJson(json, problem);
    if (!parsed)
        return versionFault({}, problem);
    Version version;
    constexpr std::size_t fieldCount = 4;
    const bool isEnvelope = parsed->is_object() && parsed->size() == fieldCount
        && readNumber(*parsed, "version", version.number)
        && readText(*parsed, "previousHash", version.previousHash)
        && readText(*parsed, "nonce", version.nonce) && parsed->contains("document");
    if (!isEnvelope)
        return versionFault({}, "the text is not a JSON object with the fields of a published version");
    Faults faults;
    version.document = Internal::readDocument((*parsed)["document"], faults);
    if (!faults.empty())
        return tl::unexpected<Faults>(std::move(faults));
    return version;
}

std::string rowText(const CurrentRow& row)
{
    return Internal::jsonText({ { "version", row.version }, { "hash", row.hash }, { "nonce", row.nonce },
        { "previousHash", row.previousHash } });
}

Model::Result<CurrentRow> parseRow(std::string_view json)
{
    std::string problem;
    const std::optional<Json> parsed = Internal::parseJson(json, problem);
    CurrentRow row;
    const bool isRow = parsed && parsed->is_object() && readNumber(*parsed, "version", row.version)
        && readText(*parsed, "hash", row.hash) && readText(*parsed, "nonce", row.nonce)
        && readText(*parsed, "previousHash", row.previousHash);
    if (!isRow)
        return Model::makeError(
            Model::ErrorCode::InvalidRequest, "the row does not have the fields of a catalogue row");
    return row;
}

}
