#pragma once

#include <cstdint>
#include <string>

namespace Crypto {

/// Returns `count` cryptographically secure random bytes. Aborts the process if no randomness is available.
std::string randomBytes(std::size_t count);
/// Returns 64 bits of `randomBytes`.
std::uint64_t randomNumber();

}
