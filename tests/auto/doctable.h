#pragma once

#include <fstream>
#include <sstream>
#include <string>
#include <vector>

/// Reads the table rows of a page in docs/ and returns them without the first one, the heading. Cells are
/// stripped of surrounding blanks. Meant for pages with one table: rows of further tables would be included.
inline std::vector<std::vector<std::string>> readDocTable(const std::string& page)
{
    std::ifstream file(std::string(PARSLEYTACK_DOCS_DIR) + "/" + page);
    std::vector<std::vector<std::string>> rows;
    for (std::string line; std::getline(file, line);) {
        if (!line.starts_with("| "))
            continue;
        std::vector<std::string> cells;
        std::istringstream stream(line.substr(1));
        for (std::string cell; std::getline(stream, cell, '|');) {
            const std::size_t first = cell.find_first_not_of(' ');
            cells.push_back(
                first == std::string::npos ? "" : cell.substr(first, cell.find_last_not_of(' ') + 1 - first));
        }
        rows.push_back(std::move(cells));
    }
    if (!rows.empty())
        rows.erase(rows.begin());
    return rows;
}
