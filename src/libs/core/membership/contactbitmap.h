#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace Membership {

/// A set of host names as a bitmap: `Model::stableHash` of a name selects its bit. Names can collide, so
/// the number of set bits is a lower bound of the number of hosts. Hence two disjoint sets of hosts are
/// never both counted as more than half of a roster.
class ContactBitmap {
public:
    static constexpr std::size_t bitCount = 2048;
    static constexpr std::size_t byteCount = bitCount / 8;
    using Words = std::array<std::uint64_t, bitCount / 64>;

    ContactBitmap() = default;
    explicit ContactBitmap(const Words& words)
        : m_words(words)
    {
    }

    void add(std::string_view name);
    void merge(const ContactBitmap& other);
    void subtract(const ContactBitmap& other);
    /// The number of bits that are set in both bitmaps.
    std::size_t countCommon(const ContactBitmap& other) const;
    const Words& words() const { return m_words; }

private:
    Words m_words {};
};

}
