#include "core/membership/contactbitmap.h"

#include "core/model/rendezvous.h"

#include <bit>

namespace Membership {

void ContactBitmap::add(std::string_view name)
{
    const std::uint64_t bit = Model::stableHash(name) % bitCount;
    m_words[bit / 64] |= std::uint64_t { 1 } << (bit % 64);
}

void ContactBitmap::merge(const ContactBitmap& other)
{
    for (std::size_t i = 0; i < m_words.size(); ++i)
        m_words[i] |= other.m_words[i];
}

void ContactBitmap::subtract(const ContactBitmap& other)
{
    for (std::size_t i = 0; i < m_words.size(); ++i)
        m_words[i] &= ~other.m_words[i];
}

std::size_t ContactBitmap::countCommon(const ContactBitmap& other) const
{
    std::size_t count = 0;
    for (std::size_t i = 0; i < m_words.size(); ++i)
        count += static_cast<std::size_t>(std::popcount(m_words[i] & other.m_words[i]));
    return count;
}

}
