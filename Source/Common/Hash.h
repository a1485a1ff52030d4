#pragma once
/// \file
/// Hash functions: a fast one for placement, a cryptographic one for secrets
/// and keys.

#include <cstdint>
#include <string>
#include <string_view>

namespace samphireshunt {

/// \returns a 64-bit hash (xxHash) that is the same on every VM and in every
/// release.
std::uint64_t stableHash(std::string_view Text, std::uint64_t Seed = 0);

/// \returns the SHA-256 of \p Text as 64 lower-case hexadecimal digits.
std::string sha256Hex(std::string_view Text);

} // namespace samphireshunt
