#include "sessionserver/linesplitter.h"

namespace SessionServer {

namespace {

    constexpr std::string_view lineEnd = "\r\n";

}

LineSplitter::LineSplitter(std::size_t maxLine)
    : m_maxLine(maxLine)
{
}

/// Returns how many bytes of `data` belong to the current line, including its line end; `npos` if the line
/// end has not arrived.
std::size_t LineSplitter::findEnd(std::string_view data) const
{
    if (m_partial.ends_with('\r') && data.starts_with('\n'))
        return 1;
    const std::size_t end = data.find(lineEnd);
    return end == std::string_view::npos ? end : end + lineEnd.size();
}

void LineSplitter::append(std::string_view data)
{
    const std::size_t longest = m_maxLine + lineEnd.size();
    if (m_partial.size() + data.size() > m_maxLine / 2 && m_partial.capacity() < longest) {
        // A string that grows would double its capacity, beyond the longest line.
        std::string whole;
        whole.reserve(longest);
        whole.append(m_partial);
        m_partial.swap(whole);
    }
    m_partial.append(data);
}

bool LineSplitter::feed(std::string_view data, const std::function<bool(std::string_view)>& handle)
{
    while (!data.empty()) {
        const std::size_t end = findEnd(data);
        if (end == std::string_view::npos) {
            const std::size_t lineEndBegun = data.ends_with('\r') ? 1 : 0;
            if (m_partial.size() + data.size() > m_maxLine + lineEndBegun)
                return false;
            append(data);
            return true;
        }
        const std::size_t length = m_partial.size() + end - lineEnd.size();
        if (length > m_maxLine)
            return false;
        bool shouldContinue = false;
        if (m_partial.empty()) {
            shouldContinue = handle(data.substr(0, length));
        } else {
            std::string line = std::move(m_partial);
            m_partial.clear();
            line.append(data.substr(0, end));
            shouldContinue = handle(std::string_view(line).substr(0, length));
        }
        if (!shouldContinue)
            return true;
        data.remove_prefix(end);
    }
    return true;
}

}
