#include "core/model/rendezvous.h"

#include <xxhash.h>

namespace Model {

std::uint64_t stableHash(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

int rendezvousIndex(std::string_view subject, std::span<const std::string> candidates)
{
    const std::uint64_t subjectHash = stableHash(subject);
    int best = -1;
    std::uint64_t bestHash = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const std::uint64_t hash = stableHash(candidates[i], subjectHash);
        if (best < 0 || hash > bestHash) {
            best = static_cast<int>(i);
            bestHash = hash;
        }
    }
    return best;
}

}
