#pragma once
/// \file
/// Compresses a text with another one, which both sides have, as the prefix: if
/// a configuration has changed a little, only the change is sent. Pure.

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace samphireshunt {

/// \returns nothing if there is not enough memory.
std::optional<std::string> packText(std::string_view Text,
                                    std::string_view Prefix);

/// \returns nothing unless \p Packed is complete, was compressed with \p Prefix
/// and decompresses to exactly \p Size bytes.
std::optional<std::string> unpackText(std::string_view Packed, std::size_t Size,
                                      std::string_view Prefix);

/// The maximum compressed size of a text of \p Size bytes.
std::size_t maxPackedSize(std::size_t Size);

} // namespace samphireshunt
