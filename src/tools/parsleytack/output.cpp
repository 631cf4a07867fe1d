#include "parsleytack/output.h"

#include <algorithm>
#include <ostream>

namespace Tool {

namespace {

    using Json = nlohmann::ordered_json;

    std::string valueText(const Json& value)
    {
        if (value.is_string())
            return value.get<std::string>();
        if (!value.is_array())
            return value.dump(-1, ' ', false, Json::error_handler_t::replace);
        std::string text;
        for (const Json& item : value)
            text += (text.empty() ? "" : " ") + valueText(item);
        return text;
    }

    /// Replaces control characters: escape sequences in a response could manipulate the operator's terminal.
    std::string printable(std::string text)
    {
        constexpr unsigned char del = 0x7f;
        std::ranges::replace_if(
            text, [](unsigned char c) { return c < ' ' || c == del; }, '?');
        return text;
    }

    std::string upperCase(std::string text)
    {
        std::ranges::transform(text, text.begin(),
            [](char c) { return c >= 'a' && c <= 'z' ? static_cast<char>(c - 'a' + 'A') : c; });
        return text;
    }

}

void Table::write(std::ostream& out) const
{
    std::vector<std::size_t> widths;
    for (const auto& row : m_rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t i = 0; i < row.size(); ++i)
            widths[i] = std::max(widths[i], row[i].size());
    }
    for (const auto& row : m_rows) {
        std::string line;
        for (std::size_t i = 0; i < row.size(); ++i) {
            std::string cell = row[i];
            cell.resize(widths[i] + 2, ' ');
            line += cell;
        }
        line.erase(line.find_last_not_of(' ') + 1);
        out << line << '\n';
    }
}

std::string fieldText(const Json& json, const char* field)
{
    return json.is_object() && json.contains(field) ? printable(valueText(json[field])) : "";
}

void writeList(std::ostream& out, const Json& list, const std::vector<const char*>& fields)
{
    std::vector<std::string> headings;
    headings.reserve(fields.size());
    for (const char* field : fields)
        headings.push_back(upperCase(field));
    Table table(std::move(headings));
    for (const Json& item : list) {
        std::vector<std::string> row;
        row.reserve(fields.size());
        for (const char* field : fields)
            row.push_back(fieldText(item, field));
        table.add(std::move(row));
    }
    table.write(out);
}

}
