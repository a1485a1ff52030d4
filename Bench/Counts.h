#pragma once
/// \file
/// Reads fleet sizes from the command line of a measurement.

#include <charconv>
#include <cstddef>
#include <string_view>
#include <vector>

namespace samphireshunt {

/// \returns the arguments of a program as numbers, or \p Default when there are
/// none. An argument that is not a number counts as 0.
inline std::vector<std::size_t> countsFrom(int ArgumentCount, char **Arguments,
                                           std::vector<std::size_t> Default) {
  std::vector<std::size_t> Counts;
  for (int Index = 1; Index < ArgumentCount; ++Index) {
    std::string_view Text(Arguments[Index]);
    std::size_t Count = 0;
    std::from_chars(Text.data(), Text.data() + Text.size(), Count);
    Counts.push_back(Count);
  }
  return Counts.empty() ? Default : Counts;
}

} // namespace samphireshunt
