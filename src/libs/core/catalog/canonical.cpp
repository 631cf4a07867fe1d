#include "core/catalog/canonical.h"

#include "core/catalog/jsonwriter.h"
#include "crypto/base64url.h"
#include "crypto/digest.h"

namespace Catalog {

namespace {

    class DocumentWriter {
    public:
        template <typename Object>
        void list(const char* field, ObjectType, const std::vector<Object>& objects)
        {
            nlohmann::json items = nlohmann::json::array();
            for (const Object& object : objects)
                items.push_back(Internal::writeObject(object));
            json[field] = std::move(items);
        }

        nlohmann::json json = nlohmann::json::object();
    };

}

std::string canonicalText(const Document& document)
{
    DocumentWriter writer;
    Internal::visitLists(writer, document);
    writer.json["limits"] = Internal::writeObject(document.limits);
    return Internal::jsonText(writer.json);
}

std::string textHash(std::string_view text) { return Crypto::toBase64Url(Crypto::sha256(text)); }

}
