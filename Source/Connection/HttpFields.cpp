#include "Connection/HttpFields.h"

#include <algorithm>
#include <cctype>
#include <iterator>

namespace samphireshunt {

std::string lowerCase(std::string_view Text) {
  std::string Lower(Text);
  std::ranges::transform(Lower, Lower.begin(), [](unsigned char C) {
    return static_cast<char>(std::tolower(C));
  });
  return Lower;
}

void HttpFields::erase(std::string_view Name) {
  auto [First, Last] = Lines_.equal_range(Name);
  Lines_.erase(First, Last);
}

std::string &HttpFields::operator[](const std::string &Name) {
  auto [First, Last] = Lines_.equal_range(Name);
  if (First == Last)
    return Lines_.emplace(Name, std::string())->second;
  Lines_.erase(std::next(First), Last);
  return First->second;
}

std::string_view HttpFields::only(std::string_view Name) const {
  return count(Name) == 1 ? std::string_view(find(Name)->second)
                          : std::string_view();
}

} // namespace samphireshunt
