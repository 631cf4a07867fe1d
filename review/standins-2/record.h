#pragma once

#include "net.h"

#include <fstream>
#include <mutex>
#include <string>

namespace Review2 {

/// Writes what a case sends, receives and runs to `record.txt`, with the time since the start of the case.
/// Thread-safe.
class Record {
public:
    explicit Record(const std::string& path)
        : m_file(path)
        , m_start(Clock::now())
    {
    }

    void write(const std::string& text)
    {
        const std::lock_guard lock(m_mutex);
        m_file << elapsedMs() << " ms  " << text << '\n';
        m_file.flush();
    }
    long elapsedMs() const
    {
        return static_cast<long>(std::chrono::duration_cast<milliseconds>(Clock::now() - m_start).count());
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    Clock::time_point m_start;
};

}
