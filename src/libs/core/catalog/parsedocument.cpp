#include "core/catalog/parsedocument.h"

#include "core/catalog/jsonreader.h"

namespace Catalog {

namespace {

    using Internal::Json;

    class DocumentReader {
    public:
        DocumentReader(const Json& json, Faults& faults)
            : m_json(json)
            , m_faults(faults)
        {
        }

        template <typename Object> void list(const char* field, ObjectType type, std::vector<Object>& objects)
        {
            m_known.emplace_back(field);
            const auto found = m_json.find(field);
            if (found == m_json.end())
                return;
            if (!found->is_array())
                return fail(field, "must be a list of objects");
            objects.reserve(found->size());
            for (const Json& item : *found) {
                const std::string position = "#" + std::to_string(objects.size());
                objects.push_back(Internal::readObject<Object>(item, type, position, m_faults));
            }
        }

        void limits(Limits& limits)
        {
            m_known.emplace_back("limits");
            const auto found = m_json.find("limits");
            if (found != m_json.end())
                limits = Internal::readObject<Limits>(*found, ObjectType::Limits, {}, m_faults);
        }

        void refuseUnknownFields()
        {
            for (const auto& [name, value] : m_json.items()) {
                if (std::ranges::find(m_known, name) == m_known.end())
                    fail(name, "is not a field of the document");
            }
        }

    private:
        void fail(const std::string& field, std::string message)
        {
            m_faults.push_back({ ObjectType::Document, {}, field, std::move(message) });
        }

        const Json& m_json;
        Faults& m_faults;
        std::vector<std::string_view> m_known;
    };

    tl::unexpected<Faults> documentFault(std::string message)
    {
        return tl::unexpected<Faults>(Faults { { ObjectType::Document, {}, {}, std::move(message) } });
    }

}

Checked<Document> parseDocument(std::string_view json)
{
    if (json.size() > maxDocumentBytes)
        return documentFault("the text is larger than " + std::to_string(maxDocumentBytes) + " bytes");
    std::string problem;
    const std::optional<Json> parsed = Internal::parseJson(json, problem);
    if (!parsed)
        return documentFault(problem);
    if (!parsed->is_object())
        return documentFault("must be a JSON object");
    Faults faults;
    Document document;
    DocumentReader reader(*parsed, faults);
    Internal::visitLists(reader, document);
    reader.limits(document.limits);
    reader.refuseUnknownFields();
    if (!faults.empty())
        return tl::unexpected<Faults>(std::move(faults));
    normalize(document);
    return document;
}

}
