#include "Common/RequestFingerprint.h"

#include "Common/Hash.h"

#include <fmt/format.h>

#include <charconv>

namespace samphireshunt {

namespace {

constexpr std::size_t WordDigits = 16;
constexpr int Hexadecimal = 16;

std::uint64_t wordAt(std::string_view Digits, std::size_t Offset) {
  std::uint64_t Word = 0;
  const char *First = Digits.data() + Offset;
  std::from_chars(First, First + WordDigits, Word, Hexadecimal);
  return Word;
}

} // namespace

std::string RequestFingerprint::str() const {
  return fmt::format("{:016x}{:016x}", High_, Low_);
}

RequestFingerprint fingerprintOf(const FingerprintParts &Parts) {
  // Each part is preceded by its length, so that no two requests have the same
  // text.
  std::string Text;
  for (std::string_view Part : {Parts.Method_, Parts.Host_, Parts.Target_,
                                Parts.Customer_, Parts.Body_}) {
    Text += std::to_string(Part.size()) + ':';
    Text += Part;
  }
  std::string Digest = sha256Hex(Text);
  return {wordAt(Digest, 0), wordAt(Digest, WordDigits)};
}

} // namespace samphireshunt
