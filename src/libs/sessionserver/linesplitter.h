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

    /// Whether no part of a line is waiting for its rest.
    bool isEmpty() const { return m_partial.empty(); }
    /// Memory that the incomplete line occupies.
    std::size_t heldBytes() const { return m_partial.empty() ? 0 : m_partial.capacity(); }

private:
    void append(std::string_view data);
    std::size_t findEnd(std::string_view data) const;

    std::size_t m_maxLine;
    std::string m_partial;
};

}
