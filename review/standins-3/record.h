#pragma once

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>

namespace Review {

/// Writes what was sent, answered and run to a file, with the time since the start in ms. Thread-safe.
class Record {
public:
    explicit Record(const std::string& path)
        : m_file(path)
    {
    }

    void write(const std::string& text)
    {
        const auto elapsed = std::chrono::steady_clock::now() - m_start;
        const std::lock_guard lock(m_mutex);
        m_file << std::chrono::duration_cast<std::chrono::milliseconds>(elapsed).count() << " " << text
               << std::endl;
    }

private:
    std::chrono::steady_clock::time_point m_start = std::chrono::steady_clock::now();
    std::mutex m_mutex;
    std::ofstream m_file;
};

}
