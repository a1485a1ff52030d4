#include "Common/Hash.h"

#include "Common/Ids.h"

#include <fmt/format.h>
#include <openssl/sha.h>
#include <xxhash.h>

#include <array>
#include <charconv>

namespace samphireshunt {

std::uint64_t stableHash(std::string_view Text, std::uint64_t Seed) {
  return XXH64(Text.data(), Text.size(), Seed);
}

TextDigest textDigest(std::string_view Text) {
  XXH128_hash_t Digest = XXH3_128bits(Text.data(), Text.size());
  return {Digest.high64, Digest.low64};
}

std::string sha256Hex(std::string_view Text) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> Digest;
  SHA256(reinterpret_cast<const unsigned char *>(Text.data()), Text.size(),
         Digest.data());
  return fmt::format("{:02x}", fmt::join(Digest, ""));
}

std::string RequestId::str() const {
  return fmt::format("{:016x}-{:016x}", Origin_, Sequence_);
}

std::optional<RequestId> RequestId::parse(std::string_view Text) {
  constexpr std::size_t HalfSize = 16;
  if (Text.size() != 2 * HalfSize + 1 || Text[HalfSize] != '-')
    return std::nullopt;
  RequestId Id;
  const char *Begin = Text.data();
  auto First = std::from_chars(Begin, Begin + HalfSize, Id.Origin_, 16);
  const char *Second = Begin + HalfSize + 1;
  auto Last = std::from_chars(Second, Second + HalfSize, Id.Sequence_, 16);
  if (First.ptr != Begin + HalfSize || Last.ptr != Second + HalfSize)
    return std::nullopt;
  return Id;
}

} // namespace samphireshunt
