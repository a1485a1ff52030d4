#pragma once
/// \file
/// Compresses a text with another one as the prefix, which both sides hold: of
/// a configuration that has changed a little only the change is left. Pure.

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace samphireshunt {

/// \returns nothing when there is no memory for it.
std::optional<std::string> packText(std::string_view Text,
                                    std::string_view Prefix);

/// \returns nothing unless \p Packed is whole, was packed with \p Prefix and
/// gives exactly \p Size bytes.
std::optional<std::string> unpackText(std::string_view Packed, std::size_t Size,
                                      std::string_view Prefix);

/// The longest that a text of \p Size bytes can be when it is packed.
std::size_t mostPacked(std::size_t Size);

} // namespace samphireshunt
