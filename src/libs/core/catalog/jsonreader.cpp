#include "core/catalog/jsonreader.h"

#include <functional>
#include <set>

namespace Catalog::Internal {

namespace {

    /// A document nests four levels deep.
    constexpr int maxDepth = 8;

    /// Watches a parser. JSON leaves open which of two equal fields counts, so repeated ones are refused.
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
