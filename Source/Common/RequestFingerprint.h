#pragma once
/// \file
/// Identifies requests with the same content, under whatever id they come, and
/// the parts of prompts that different requests share.

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace samphireshunt {

/// The first 128 bits of a SHA-256 over the parts of a request that decide what
/// a server does with it. Equal on all daemons.
struct RequestFingerprint {
  std::uint64_t High_ = 0;
  std::uint64_t Low_ = 0;

  // NOLINTNEXTLINE: the checks take the operator's generated code for ours.
  auto operator<=>(const RequestFingerprint &) const = default;
  /// \returns false for the default value, which stands for no request.
  explicit operator bool() const { return High_ != 0 || Low_ != 0; }
  /// \returns whether this is the key of a part of prompts.
  bool isPart() const { return High_ == PartMark; }
  /// \returns 32 hexadecimal digits.
  std::string str() const;

  /// High_ of the key of a part.
  static constexpr std::uint64_t PartMark = 0x7061727400000000;
};

/// \returns the key of a part of prompts, which requests share whose content
/// differs.
constexpr RequestFingerprint partKey(std::uint64_t PartId) {
  return {RequestFingerprint::PartMark, PartId};
}

/// The parts of a request that the fingerprint covers. Its id, its deadline and
/// the caller's estimates are not among them: they differ in each attempt.
struct FingerprintParts {
  std::string_view Method_;
  std::string_view Host_;
  std::string_view Target_;
  /// Empty for anonymous callers.
  std::string_view Customer_;
  std::string_view Body_;
};

RequestFingerprint fingerprintOf(const FingerprintParts &Parts);

} // namespace samphireshunt
