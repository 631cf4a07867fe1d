#include "core/replication/term.h"

namespace Replication {

namespace {

    constexpr int randomBits = 24;

}

std::uint64_t nextTerm(std::uint64_t highest, Generator& generator)
{
    const std::uint64_t counter = (highest >> randomBits) + 1;
    return (counter << randomBits) | (generator() & ((std::uint64_t { 1 } << randomBits) - 1));
}

}
