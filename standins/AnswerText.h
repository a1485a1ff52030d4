#pragma once
/// \file
/// The answers of the stand-in engines: each follows from its request alone,
/// so that a caller can tell a whole answer of its own from any other.

#include <string>
#include <string_view>

namespace samphireshunt::standins {

/// Token \p Number of the answer to \p Prompt.
std::string answerToken(std::string_view Prompt, std::size_t Number);
/// The whole answer of \p Count tokens.
std::string answerText(std::string_view Prompt, std::size_t Count);
/// What an application engine answers to a body.
std::string applicationAnswer(std::string_view Path, std::string_view Nonce);

} // namespace samphireshunt::standins
