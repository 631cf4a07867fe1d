#pragma once

#include "core/catalog/documentfields.h"

#include <algorithm>
#include <array>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

#include <nlohmann/json.hpp>

namespace Catalog::Internal {

using Json = nlohmann::json;

/// Parses JSON text. Returns nullopt and sets `problem` to the reason if the text is malformed, is nested too
/// deeply or repeats a field within an object.
std::optional<Json> parseJson(std::string_view text, std::string& problem);

/// Adds a fault unless the list already has `maxParseFaults`, so that malformed text cannot exhaust the
/// memory.
void addFault(Faults& faults, Fault fault);

/// Reads the fields of one JSON object and adds a fault for each that is missing, unknown or of a wrong type.
class ObjectReader {
public:
    ObjectReader(const Json& json, ObjectType type, std::string name, Faults& faults)
        : m_json(json)
        , m_type(type)
        , m_name(std::move(name))
        , m_faults(faults)
    {
    }

    template <typename Value> void field(const char* name, Value& value, Presence presence, Range = {})
    {
        m_known.emplace_back(name);
        const auto found = m_json.find(name);
        if (found != m_json.end())
            return read(name, *found, value);
        if (presence == Presence::Required)
            fail(name, "is missing");
    }

    void refuseUnknownFields()
    {
        for (const auto& [name, value] : m_json.items()) {
            if (std::ranges::find(m_known, name) == m_known.end())
                fail(name, "is not a field of this object");
        }
    }

private:
    void read(const char* name, const Json& json, std::string& value)
    {
        if (!json.is_string())
            return fail(name, "must be a string");
        value = json.get_ref<const std::string&>();
    }

    void read(const char* name, const Json& json, std::int64_t& value)
    {
        // Larger unsigned numbers would wrap to negative values.
        const bool isTooLarge = json.is_number_unsigned()
            && json.get<std::uint64_t>()
                > static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
        if (!json.is_number_integer() || isTooLarge)
            return fail(name, "must be an integer");
        value = json.get<std::int64_t>();
    }

    void read(const char* name, const Json& json, bool& value)
    {
        if (!json.is_boolean())
            return fail(name, "must be true or false");
        value = json.get<bool>();
    }

    void read(const char* name, const Json& json, std::vector<std::string>& value)
    {
        if (!json.is_array() || !std::ranges::all_of(json, [](const Json& item) { return item.is_string(); }))
            return fail(name, "must be a list of strings");
        value = json.get<std::vector<std::string>>();
    }

    template <typename State>
    requires std::is_enum_v<State>
    void read(const char* name, const Json& json, State& value)
    {
        if (json.is_string() && setStateFromName(json.get_ref<const std::string&>(), value))
            return;
        fail(name,
            "must be \"" + std::string(stateName(State {})) + "\" or \""
                + std::string(stateName(static_cast<State>(1))) + "\"");
    }

    void fail(const std::string& field, std::string message)
    {
        addFault(m_faults, { m_type, m_name, field, std::move(message) });
    }

    const Json& m_json;
    ObjectType m_type;
    std::string m_name;
    Faults& m_faults;
    std::vector<std::string_view> m_known;
};

/// Reads one object. `fallbackName` identifies it in faults if it has no name.
template <typename Object>
Object readObject(const Json& json, ObjectType type, const std::string& fallbackName, Faults& faults)
{
    Object object;
    if (!json.is_object()) {
        addFault(faults, { type, fallbackName, {}, "must be a JSON object" });
        return object;
    }
    const auto name = json.find("name");
    const bool isNamed = name != json.end() && name->is_string();
    ObjectReader reader(json, type, isNamed ? name->get<std::string>() : fallbackName, faults);
    visitFields(reader, object, std::type_identity<Object> {});
    reader.refuseUnknownFields();
    return object;
}

/// Reads a document and normalizes it.
Document readDocument(const Json& json, Faults& faults);

}
