#pragma once

#include <fstream>
#include <sstream>
#include <string>
#include <vector>

/// The rows of the first table in a page of docs/, without the heading, as cells without blanks around them.
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
