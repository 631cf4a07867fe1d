#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace SessionServer {

/// Cuts a stream of bytes into lines that end with CR LF or LF.
class LineSplitter {
public:
    explicit LineSplitter(std::size_t maxLine);

    /// Calls `handle` for each complete line; stops when it returns false, which drops the rest. Returns
    /// false if a line is longer than allowed.
    bool feed(std::string_view data, const std::function<bool(std::string_view)>& handle);

private:
    std::size_t m_maxLine;
    std::string m_partial;
};

}
