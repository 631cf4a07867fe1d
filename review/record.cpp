#include "record.h"

#include <iostream>

namespace Review {

namespace {

    constexpr std::size_t maxPrintedBytes = 200;

}

Record::Record(const std::string& file)
    : m_file(file, std::ios::trunc)
{
}

std::chrono::milliseconds Record::elapsed() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::steady_clock::now() - m_startedAt);
}

void Record::write(const std::string& line)
{
    const std::string text = std::to_string(elapsed().count()) + " " + line;
    const std::lock_guard lock(m_mutex);
    m_file << text << std::endl;
}

void Record::write(std::initializer_list<std::string> parts)
{
    std::string line;
    for (const std::string& part : parts)
        line += part;
    write(line);
}

std::string printable(const std::string& text)
{
    std::string result;
    for (const char c : text.substr(0, maxPrintedBytes)) {
        if (c == '\n')
            result += "\\n";
        else if (c == '\r')
            result += "\\r";
        else
            result += c;
    }
    if (text.size() > maxPrintedBytes)
        result += "... (" + std::to_string(text.size()) + " bytes)";
    return result;
}

}
