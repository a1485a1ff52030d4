#pragma once
/// \file
/// The answers of the stand-in engines. Each answer is a function of its
/// request alone, so a caller can verify that it received the complete answer
/// to its own request and not another one.

#include <string>
#include <string_view>

namespace samphireshunt::standins {

/// \returns the token at index \p Number of the answer to \p Prompt.
std::string answerToken(std::string_view Prompt, std::size_t Number);
/// \returns the complete answer to \p Prompt, \p Count tokens long.
std::string answerText(std::string_view Prompt, std::size_t Count);
/// \returns the answer of an application engine to a request for \p Path that
/// carries \p Nonce.
std::string applicationAnswer(std::string_view Path, std::string_view Nonce);

} // namespace samphireshunt::standins
