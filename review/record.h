#pragma once

#include <chrono>
#include <fstream>
#include <initializer_list>
#include <mutex>
#include <string>

namespace Review {

/// Writes what was sent, answered and run, with the time in ms since the start. Thread-safe.
class Record {
public:
    explicit Record(const std::string& file);

    void write(const std::string& line);
    /// Writes a line that consists of these parts.
    void write(std::initializer_list<std::string> parts);
    /// Time since the start of the record.
    std::chrono::milliseconds elapsed() const;

private:
    std::chrono::steady_clock::time_point m_startedAt = std::chrono::steady_clock::now();
    std::mutex m_mutex;
    std::ofstream m_file;
};

/// Returns `text` with control characters replaced, and cut after some hundred bytes.
std::string printable(const std::string& text);

}
