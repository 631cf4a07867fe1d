#include "settings/fieldreader.h"

#include <nlohmann/json.hpp>

namespace Settings {

namespace {

    using Json = nlohmann::json;

    /// Length of a CURVE key of 32 bytes as Z85 text (ZeroMQ RFC 32).
    constexpr std::size_t curveKeySize = 40;

}

FieldReader::FieldReader(const Json& object)
    : m_object(object)
{
}

void FieldReader::text(const char* name, std::string& value, std::size_t minSize, bool isRequired)
{
    const Json* field = find(name, isRequired);
    if (!field)
        return;
    if (!field->is_string() || field->get_ref<const std::string&>().size() < minSize)
        return fail(name, "a string of at least " + std::to_string(minSize) + " characters");
    value = field->get<std::string>();
}

void FieldReader::curveKey(const char* name, std::string& value)
{
    text(name, value, curveKeySize);
    if (m_error.empty() && value.size() != curveKeySize)
        fail(name, "a Z85 key of 40 characters");
}

void FieldReader::address(const char* name, Address& value)
{
    std::string read;
    text(name, read, 1);
    if (!m_error.empty())
        return;
    const auto parsed = parseAddress(read);
    if (!parsed)
        return fail(name, "an address of the form IP:PORT");
    value = *parsed;
}

void FieldReader::addresses(const char* name, std::vector<Address>& value)
{
    const Json* field = find(name, false);
    if (!field)
        return;
    if (!field->is_array())
        return fail(name, "a list of addresses");
    for (const Json& item : *field) {
        const auto parsed = item.is_string() ? parseAddress(item.get<std::string>()) : parseAddress("");
        if (!parsed)
            return fail(name, "a list of addresses of the form IP:PORT");
        value.push_back(*parsed);
    }
}

void FieldReader::integer(const char* name, int& value, int minimum, int maximum)
{
    const Json* field = find(name, false);
    if (!field)
        return;
    const bool isInRange = field->is_number_integer() && field->get<std::int64_t>() >= minimum
        && field->get<std::int64_t>() <= maximum;
    if (!isInRange)
        return fail(name, "an integer from " + std::to_string(minimum) + " to " + std::to_string(maximum));
    value = field->get<int>();
}

void FieldReader::boolean(const char* name, bool& value)
{
    const Json* field = find(name, false);
    if (!field)
        return;
    if (!field->is_boolean())
        return fail(name, "true or false");
    value = field->get<bool>();
}

void FieldReader::fraction(const char* name, double& value)
{
    const Json* field = find(name, false);
    if (!field)
        return;
    if (!field->is_number() || field->get<double>() < 0 || field->get<double>() > 1)
        return fail(name, "a number from 0 to 1");
    value = field->get<double>();
}

void FieldReader::range(const char* name, int& first, int& last, int minimum, int maximum)
{
    const Json* field = find(name, true);
    if (!field)
        return;
    const auto isValidBound = [&](const Json& item) {
        return item.is_number_integer() && item.get<std::int64_t>() >= minimum
            && item.get<std::int64_t>() <= maximum;
    };
    const bool isPair = field->is_array() && field->size() == 2 && isValidBound(field->at(0))
        && isValidBound(field->at(1)) && field->at(0) <= field->at(1);
    if (!isPair)
        return fail(name,
            "two integers from " + std::to_string(minimum) + " to " + std::to_string(maximum)
                + ", the lower one first");
    first = field->at(0).get<int>();
    last = field->at(1).get<int>();
}

void FieldReader::refuseUnknownFields()
{
    for (const auto& [name, value] : m_object.items()) {
        if (!m_known.contains(name))
            return fail(name, "only known fields, but this one is unknown");
    }
}

const Json* FieldReader::find(const char* name, bool isRequired)
{
    m_known.insert(name);
    if (!m_error.empty())
        return nullptr;
    const auto found = m_object.find(name);
    if (found != m_object.end())
        return &*found;
    if (isRequired)
        fail(name, "a value, but the field is missing");
    return nullptr;
}

void FieldReader::fail(const std::string& name, const std::string& expected)
{
    if (m_error.empty())
        m_error = "settings field \"" + name + "\": expected " + expected;
}

}
