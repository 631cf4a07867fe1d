#include "sessionserver/linesplitter.h"

namespace SessionServer {

namespace {

    std::string_view withoutCarriageReturn(std::string_view line)
    {
        return line.ends_with('\r') ? line.substr(0, line.size() - 1) : line;
    }

}

LineSplitter::LineSplitter(std::size_t maxLine)
    : m_maxLine(maxLine)
{
}

bool LineSplitter::feed(std::string_view data, const std::function<bool(std::string_view)>& handle)
{
    while (!data.empty()) {
        const std::size_t end = data.find('\n');
        if (end == std::string_view::npos) {
            if (m_partial.size() + data.size() > m_maxLine)
                return false;
            m_partial.append(data);
            return true;
        }
        if (m_partial.size() + end > m_maxLine)
            return false;
        bool shouldContinue = false;
        if (m_partial.empty()) {
            shouldContinue = handle(withoutCarriageReturn(data.substr(0, end)));
        } else {
            std::string line = std::move(m_partial);
            m_partial.clear();
            line.append(data.substr(0, end));
            shouldContinue = handle(withoutCarriageReturn(line));
        }
        if (!shouldContinue)
            return true;
        data.remove_prefix(end + 1);
    }
    return true;
}

}
