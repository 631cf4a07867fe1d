#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace SessionServer {

/// Splits a stream of bytes into lines that end with CR LF. A CR or LF alone is part of its line.
class LineSplitter {
public:
    /// `maxLine` is the longest accepted line in bytes, without its line end.
    explicit LineSplitter(std::size_t maxLine);

    /// Calls `handle` for each complete line, without its line end; stops when `handle` returns false and
    /// discards the rest of `data`. Returns false if a line is longer than allowed.
    bool feed(std::string_view data, const std::function<bool(std::string_view)>& handle);

private:
    std::size_t findEnd(std::string_view data) const;

    std::size_t m_maxLine;
    std::string m_partial;
};

}
