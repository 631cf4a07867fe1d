#pragma once

#include "core/catalog/documentfields.h"

#include <type_traits>

#include <nlohmann/json.hpp>

namespace Catalog::Internal {

/// Visitor that writes the fields of one object as JSON.
class ObjectWriter {
public:
    template <typename Value> void field(const char* name, const Value& value, Presence, Range = {})
    {
        if constexpr (std::is_enum_v<Value>)
            m_json[name] = stateName(value);
        else
            m_json[name] = value;
    }

    nlohmann::json take() { return std::move(m_json); }

private:
    nlohmann::json m_json = nlohmann::json::object();
};

/// Visitor of an object with default values. Removes the optional fields with these values from the JSON of
/// another object.
class DefaultRemover {
public:
    explicit DefaultRemover(nlohmann::json& json)
        : m_json(json)
    {
    }

    template <typename Value> void field(const char* name, const Value& value, Presence presence, Range = {})
    {
        if (presence == Presence::Required)
            return;
        ObjectWriter writer;
        writer.field(name, value, presence);
        const nlohmann::json defaults = writer.take();
        if (m_json[name] == defaults[name])
            m_json.erase(name);
    }

private:
    nlohmann::json& m_json;
};

/// Writes an object as JSON without the optional fields that have their default value.
template <typename Object> nlohmann::json writeObject(const Object& object)
{
    ObjectWriter writer;
    visitFields(writer, object, std::type_identity<Object> {});
    nlohmann::json json = writer.take();
    const Object defaults;
    DefaultRemover remover(json);
    visitFields(remover, defaults, std::type_identity<Object> {});
    return json;
}

/// Serializes JSON without white space. Invalid UTF-8, which a parsed document cannot contain, is replaced
/// rather than reported by an exception.
inline std::string jsonText(const nlohmann::json& json)
{
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}
