#pragma once

#include "../core/seeds.h"

#include <algorithm>
#include <atomic>
#include <cstddef>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

/// Feeds damaged input to parsers.
namespace Fuzz {

/// Bytes that the program has allocated so far, whether or not they were freed.
extern std::atomic<std::size_t> allocatedBytes;

/// An allowance for what a parser sets up, and a multiple of the input for what it builds from it.
constexpr std::size_t fixedAllocation = 64UL * 1024;
constexpr std::size_t allocationPerByte = 1024;

/// Contents of the files of a directory, in the order of their names. A line feed at the end is left out.
inline std::vector<std::string> readCorpus(const std::string& directory)
{
    std::vector<std::filesystem::path> paths;
    for (const auto& entry : std::filesystem::directory_iterator(directory))
        paths.push_back(entry.path());
    std::ranges::sort(paths);
    std::vector<std::string> result;
    for (const auto& path : paths) {
        std::ostringstream content;
        content << std::ifstream(path, std::ios::binary).rdbuf();
        result.push_back(content.str());
        if (result.back().ends_with('\n'))
            result.back().pop_back();
    }
    EXPECT_FALSE(result.empty()) << directory;
    return result;
}

inline std::string oneOf(const std::vector<std::string>& texts, std::mt19937_64& generator)
{
    return texts.at(below(texts.size(), generator));
}

/// Replaces a number of the text, so that a document stays valid with a value out of range.
inline void replaceNumber(std::string& text, std::mt19937_64& generator)
{
    static const std::vector<std::string> values { "-1", "-1e18", "1e18", "1e300", "0", "0.5", "4294967296",
        "9223372036854775808", "18446744073709551615", "null", "true", "\"x\"", "[]", "{}" };
    constexpr const char* digits = "0123456789";
    const std::size_t first = text.find_first_of(digits, below(text.size() + 1, generator));
    if (first == std::string::npos)
        return;
    const std::size_t end = std::min(text.find_first_not_of(digits, first), text.size());
    text.replace(first, end - first, oneOf(values, generator));
}

/// Changes a part of the text: a number, other bytes, a part missing, repeated many times or from another
/// text, or one of the values that parsers often do not expect.
inline std::string damage(
    std::string text, const std::vector<std::string>& corpus, std::mt19937_64& generator)
{
    static const std::vector<std::string> odd { "-1", "1e400", "1e300", "18446744073709551616", "null", "{}",
        "[]", "\"\"", std::string(1, '\0'), "\xff\xff\xff\xff\xff\xff\xff\xff\xff\x7f", "\r", "\n", " ",
        std::string(2000, '['), std::string(300, '9') };
    for (std::uint64_t changes = 1 + below(3, generator); changes > 0; --changes) {
        const std::size_t at = below(text.size() + 1, generator);
        const std::size_t size = below(text.size() - at + 1, generator);
        switch (below(7, generator)) {
        case 0:
            if (at < text.size())
                text[at] = static_cast<char>(below(256, generator));
            break;
        case 1:
            text.erase(at, size);
            break;
        case 2:
            for (const std::string part = text.substr(at, size); text.size() < 4000 && !part.empty();)
                text.insert(at, part);
            break;
        case 3:
            text.replace(at, std::min<std::size_t>(size, 12), oneOf(odd, generator));
            break;
        case 4:
            text.insert(at, oneOf(odd, generator));
            break;
        case 5:
            replaceNumber(text, generator);
            break;
        default:
            const std::string other = oneOf(corpus, generator);
            text.replace(at, size, other.substr(below(other.size() + 1, generator)));
            break;
        }
    }
    return text;
}

/// Calls `parse` with damaged texts of the corpus. Fails if it allocates more than in proportion to its
/// input.
template <typename Parse>
void run(const std::vector<std::string>& corpus, std::uint64_t seeds, const Parse& parse)
{
    constexpr int inputsPerSeed = 200;
    forEachSeed(seeds, [&](std::mt19937_64& generator) {
        for (int i = 0; i < inputsPerSeed; ++i) {
            const std::string input = damage(oneOf(corpus, generator), corpus, generator);
            const std::size_t before = allocatedBytes;
            parse(input);
            EXPECT_LE(allocatedBytes - before, fixedAllocation + allocationPerByte * input.size()) << input;
        }
    });
}

}
