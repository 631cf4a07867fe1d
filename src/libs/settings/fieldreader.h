#pragma once

#include "settings/hostsettings.h"

#include <set>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

namespace Settings {

/// Reads the fields of a JSON object one after the other and keeps the first error.
class FieldReader {
public:
    explicit FieldReader(const nlohmann::json& object);

    void text(const char* name, std::string& value, std::size_t minSize, bool isRequired = true);
    void curveKey(const char* name, std::string& value);
    void address(const char* name, Address& value);
    void addresses(const char* name, std::vector<Address>& value);
    void integer(const char* name, int& value, int minimum, int maximum);
    void fraction(const char* name, double& value);
    /// An integer pair whose first is not above its second.
    void range(const char* name, int& first, int& last, int minimum, int maximum);
    /// Makes a field that was not read an error.
    void refuseUnknown();

    /// Empty if all fields are right.
    const std::string& error() const { return m_error; }

private:
    const nlohmann::json* find(const char* name, bool isRequired);
    void fail(const std::string& name, const std::string& expected);

    const nlohmann::json& m_object;
    std::set<std::string> m_known;
    std::string m_error;
};

}
