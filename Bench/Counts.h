#pragma once
/// \file
/// The sizes of fleets that a measurement is asked for.

#include <charconv>
#include <cstddef>
#include <string_view>
#include <vector>

namespace samphireshunt {

/// The arguments of a program as numbers; \p Usual where there are none.
inline std::vector<std::size_t> countsFrom(int ArgumentCount, char **Arguments,
                                           std::vector<std::size_t> Usual) {
  std::vector<std::size_t> Counts;
  for (int Index = 1; Index < ArgumentCount; ++Index) {
    std::string_view Text(Arguments[Index]);
    std::size_t Count = 0;
    std::from_chars(Text.data(), Text.data() + Text.size(), Count);
    Counts.push_back(Count);
  }
  return Counts.empty() ? Usual : Counts;
}

} // namespace samphireshunt
