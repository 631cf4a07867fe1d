#pragma once

#include <cstdint>
#include <string>

namespace Crypto {

/// Random bytes of the operating system, fit for secrets.
std::string randomBytes(std::size_t count);
std::uint64_t randomNumber();

}
