#pragma once

#include "settings/hostsettings.h"

#include <set>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

namespace Settings {

/// Reads and validates the fields of a JSON object. Only the first error is kept; after it nothing more is
/// read. A function for an optional field leaves its value unchanged if the field is missing.
class FieldReader {
public:
    explicit FieldReader(const nlohmann::json& object);

    /// Reads a string of at least `minSize` bytes.
    void text(const char* name, std::string& value, std::size_t minSize, bool isRequired = true);
    /// Reads a required CURVE key: 40 characters of Z85 text. Only the length is checked.
    void curveKey(const char* name, std::string& value);
    /// Reads a required address.
    void address(const char* name, Address& value);
    /// Reads an optional list of addresses and appends them to `value`.
    void addresses(const char* name, std::vector<Address>& value);
    /// Reads an optional integer; both bounds are inclusive.
    void integer(const char* name, int& value, int minimum, int maximum);
    /// Reads an optional Boolean value.
    void boolean(const char* name, bool& value);
    /// Reads an optional number from 0 to 1.
    void fraction(const char* name, double& value);
    /// Reads a required array of two integers within the bounds, in ascending order.
    void range(const char* name, int& first, int& last, int minimum, int maximum);
    /// Reports an error if the object has a field that no function has read.
    void refuseUnknownFields();

    /// Error message with the name of the invalid field and the expected value; empty if all fields are
    /// valid.
    const std::string& error() const { return m_error; }

private:
    const nlohmann::json* find(const char* name, bool isRequired);
    void fail(const std::string& name, const std::string& expected);

    const nlohmann::json& m_object;
    std::set<std::string> m_known;
    std::string m_error;
};

}
