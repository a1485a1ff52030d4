#include "AnswerText.h"

#include "Common/Hash.h"

#include <fmt/format.h>

namespace samphireshunt::standins {

std::string answerToken(std::string_view Prompt, std::size_t Number) {
  constexpr std::uint64_t TokenMask = 0xFFFF;
  return fmt::format("{:04x} ", stableHash(Prompt, Number) & TokenMask);
}

std::string answerText(std::string_view Prompt, std::size_t Count) {
  std::string Text;
  for (std::size_t Number = 0; Number < Count; ++Number)
    Text += answerToken(Prompt, Number);
  return Text;
}

std::string applicationAnswer(std::string_view Path, std::string_view Nonce) {
  return fmt::format("{:016x}",
                     stableHash(std::string(Path) + "\n" + std::string(Nonce)));
}

} // namespace samphireshunt::standins
