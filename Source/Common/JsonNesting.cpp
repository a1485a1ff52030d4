#include "Common/JsonNesting.h"

#include <algorithm>

namespace samphireshunt {

namespace {

/// The position within a JSON text, as far as nesting depends on it.
struct Position {
  std::size_t Depth_ = 0;
  bool InString_ = false;
  bool Escaped_ = false;

  void read(char Sign) {
    if (Escaped_) {
      Escaped_ = false;
    } else if (InString_) {
      Escaped_ = Sign == '\\';
      InString_ = Sign != '"';
    } else if (Sign == '"') {
      InString_ = true;
    } else if (Sign == '[' || Sign == '{') {
      ++Depth_;
    } else if ((Sign == ']' || Sign == '}') && Depth_ > 0) {
      --Depth_;
    }
  }
};

} // namespace

bool nestsDeeperThan(std::string_view Text, std::size_t Levels) {
  Position Reached;
  return std::ranges::any_of(Text, [&](char Sign) {
    Reached.read(Sign);
    return Reached.Depth_ > Levels;
  });
}

} // namespace samphireshunt
