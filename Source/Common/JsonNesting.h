#pragma once
/// \file
/// The nesting depth of a JSON text that is not parsed yet. The JSON library
/// copies and writes values recursively, so a deeply nested one overflows the
/// stack and ends the process.

#include <cstddef>
#include <string_view>

namespace samphireshunt {

/// \returns whether more than \p Levels arrays and objects of \p Text are
/// inside each other. The rest of the text is not examined then. A text that is
/// not JSON is parsed no deeper than is found here.
bool nestsDeeperThan(std::string_view Text, std::size_t Levels);

} // namespace samphireshunt
