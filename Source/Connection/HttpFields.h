#pragma once
/// \file
/// The header fields of an HTTP message.

#include <cstddef>
#include <functional>
#include <initializer_list>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace samphireshunt {

/// \returns \p Text in lower case, as names of header fields are compared.
std::string lowerCase(std::string_view Text);

/// Header fields by lower-case name. A field may have several lines, which keep
/// their order (RFC 9110, section 5.3).
class HttpFields {
public:
  using Lines = std::multimap<std::string, std::string, std::less<>>;
  // NOLINTBEGIN(readability-identifier-naming): names of a standard container.
  using value_type = Lines::value_type;
  using const_iterator = Lines::const_iterator;

  HttpFields() = default;
  HttpFields(std::initializer_list<value_type> Fields) : Lines_(Fields) {}

  const_iterator begin() const { return Lines_.begin(); }
  const_iterator end() const { return Lines_.end(); }
  bool empty() const { return Lines_.empty(); }
  /// The number of lines.
  std::size_t size() const { return Lines_.size(); }
  void clear() { Lines_.clear(); }
  bool contains(std::string_view Name) const { return Lines_.contains(Name); }
  /// The number of lines of \p Name.
  std::size_t count(std::string_view Name) const { return Lines_.count(Name); }
  /// \returns the first line of \p Name.
  const_iterator find(std::string_view Name) const {
    auto [First, Last] = Lines_.equal_range(Name);
    return First == Last ? end() : First;
  }
  /// \returns all lines of \p Name, in order.
  std::pair<const_iterator, const_iterator>
  equal_range(std::string_view Name) const {
    return Lines_.equal_range(Name);
  }
  /// Removes all lines of \p Name.
  void erase(std::string_view Name);
  // NOLINTEND(readability-identifier-naming)

  /// Adds a line after those of the same name.
  void add(std::string Name, std::string Value) {
    Lines_.emplace(std::move(Name), std::move(Value));
  }
  /// \returns the value of the only line of \p Name, which is added if there is
  /// none. Further lines are removed.
  std::string &operator[](const std::string &Name);
  /// \returns the value of the only line of \p Name; an empty one if there is
  /// none, or several.
  std::string_view only(std::string_view Name) const;

  friend bool operator==(const HttpFields &, const HttpFields &) = default;

private:
  Lines Lines_;
};

} // namespace samphireshunt
