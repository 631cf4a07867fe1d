#pragma once

#include <iosfwd>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace Tool {

/// Text table with aligned columns. The first row holds the headings.
class Table {
public:
    explicit Table(std::vector<std::string> headings) { m_rows.push_back(std::move(headings)); }

    void add(std::vector<std::string> row) { m_rows.push_back(std::move(row)); }
    void write(std::ostream& out) const;

private:
    std::vector<std::vector<std::string>> m_rows;
};

/// Returns a field of a response as text, with control characters replaced; empty if the field is missing.
std::string fieldText(const nlohmann::ordered_json& json, const char* field);

/// Writes a table with one row for each object of a list, and one column for each field.
void writeList(std::ostream& out, const nlohmann::ordered_json& list, const std::vector<const char*>& fields);

}
