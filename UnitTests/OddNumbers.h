#pragma once
/// \file
/// Numbers, as JSON texts, that another writer may have left where a reader
/// expects one.

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <string>
#include <string_view>
#include <vector>

namespace samphireshunt::tests {

inline const std::vector<std::string> OddNumbers = {"-1",
                                                    "0",
                                                    "1.5",
                                                    "1e300",
                                                    "-1e300",
                                                    "9007199254740992",
                                                    "9223372036854775808",
                                                    "18446744073709551615",
                                                    "18446744073709551616",
                                                    "1e999",
                                                    "\"7\"",
                                                    "null"};

/// \returns the text of \p Root with \p Number at the place \p Pointer.
inline std::string withNumber(nlohmann::json Root, const std::string &Pointer,
                              const std::string &Number) {
  Root[nlohmann::json::json_pointer(Pointer)] = "NUMBER";
  std::string Text = Root.dump();
  constexpr std::string_view Placeholder = "\"NUMBER\"";
  return Text.replace(Text.find(Placeholder), Placeholder.size(), Number);
}

/// Checks that \p Read takes the \p Valid ones of OddNumbers and refuses all
/// others with a failure whose detail names \p Field.
template <class Reading>
void checkOddNumbers(std::string_view Field,
                     const std::vector<std::string> &Valid, Reading Read) {
  CAPTURE(Field);
  for (const std::string &Number : OddNumbers) {
    CAPTURE(Number);
    auto Given = Read(Number);
    bool Expected = std::ranges::count(Valid, Number) > 0;
    CHECK(Given.has_value() == Expected);
    // The parser refuses 1e999 before any field is looked at.
    if (!Given && Number != "1e999")
      CHECK(Given.error().Detail_.find(Field) != std::string::npos);
  }
}

} // namespace samphireshunt::tests
