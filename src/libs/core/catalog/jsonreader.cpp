#include "core/catalog/jsonreader.h"

#include "core/catalog/parsedocument.h"

#include <functional>
#include <set>

namespace Catalog::Internal {

namespace {

    /// A published version nests five levels deep.
    constexpr int maxDepth = 8;

    /// Callback of the JSON parser that rejects text with too deep nesting and with repeated fields: JSON
    /// does not define which of two fields with the same name is valid.
    class StructureGuard {
    public:
        explicit StructureGuard(std::string& problem)
            : m_problem(problem)
        {
        }

        bool operator()(int depth, Json::parse_event_t event, const Json& parsed)
        {
            if (depth > maxDepth)
                m_problem = "the JSON text is nested too deeply";
            if (!m_problem.empty())
                return false;
            if (event == Json::parse_event_t::object_start)
                m_fields.emplace_back();
            else if (event == Json::parse_event_t::object_end)
                m_fields.pop_back();
            else if (event == Json::parse_event_t::key
                && !m_fields.back().insert(parsed.get<std::string>()).second)
                m_problem = "the field \"" + parsed.get<std::string>() + "\" occurs twice in an object";
            return m_problem.empty();
        }

    private:
        std::string& m_problem;
        std::vector<std::set<std::string>> m_fields;
    };

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
                objects.push_back(readObject<Object>(item, type, position, m_faults));
            }
        }

        void limits(Limits& limits)
        {
            m_known.emplace_back("limits");
            const auto found = m_json.find("limits");
            if (found != m_json.end())
                limits = readObject<Limits>(*found, ObjectType::Limits, {}, m_faults);
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
            addFault(m_faults, { ObjectType::Document, {}, field, std::move(message) });
        }

        const Json& m_json;
        Faults& m_faults;
        std::vector<std::string_view> m_known;
    };

}

void addFault(Faults& faults, Fault fault)
{
    if (faults.size() < maxParseFaults)
        faults.push_back(std::move(fault));
    else if (faults.size() == maxParseFaults)
        faults.push_back({ ObjectType::Document, {}, {}, "there are further faults, which are not listed" });
}

Document readDocument(const Json& json, Faults& faults)
{
    Document document;
    if (!json.is_object()) {
        addFault(faults, { ObjectType::Document, {}, {}, "must be a JSON object" });
        return document;
    }
    DocumentReader reader(json, faults);
    visitLists(reader, document);
    reader.limits(document.limits);
    reader.refuseUnknownFields();
    normalize(document);
    return document;
}

std::optional<Json> parseJson(std::string_view text, std::string& problem)
{
    problem.clear();
    StructureGuard guard(problem);
    Json json = Json::parse(text, std::ref(guard), false);
    if (!problem.empty())
        return std::nullopt;
    if (json.is_discarded()) {
        problem = "the text is not valid JSON";
        return std::nullopt;
    }
    return json;
}

}
