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

/// 128 bits that tell texts apart. With 100,000 texts the chance that two have
/// the same is below 1 in 10^28. It gives no protection against somebody who
/// looks for two such texts.
struct TextDigest {
  std::uint64_t High_ = 0;
  std::uint64_t Low_ = 0;
  bool operator==(const TextDigest &) const = default;
};

/// \returns the digest (xxHash) of \p Text.
TextDigest textDigest(std::string_view Text);

/// \returns the SHA-256 of \p Text as 64 lower-case hexadecimal digits.
std::string sha256Hex(std::string_view Text);

} // namespace samphireshunt
