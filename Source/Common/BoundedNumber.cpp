#include "Common/BoundedNumber.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <cmath>
#include <optional>
#include <utility>

namespace samphireshunt {

namespace {

using Json = nlohmann::json;

/// \returns the value of a whole number that an std::int64_t can hold.
std::optional<std::int64_t> wholeValue(const Json &Given) {
  // Both are exact as doubles; the upper one is no std::int64_t any more.
  constexpr double Least = -0x1p63;
  constexpr double End = 0x1p63;
  if (Given.is_number_unsigned()) {
    auto Value = Given.get<std::uint64_t>();
    return std::in_range<std::int64_t>(Value)
               ? std::optional(static_cast<std::int64_t>(Value))
               : std::nullopt;
  }
  if (Given.is_number_integer())
    return Given.get<std::int64_t>();
  if (!Given.is_number_float())
    return std::nullopt;
  auto Value = Given.get<double>();
  bool IsWhole = Value >= Least && Value < End && std::trunc(Value) == Value;
  return IsWhole ? std::optional(static_cast<std::int64_t>(Value))
                 : std::nullopt;
}

} // namespace

Result<std::int64_t> readWhole(std::string_view Field, const Json &Given,
                               NumberRange Range) {
  auto Value = wholeValue(Given);
  if (Value && *Value >= Range.Min_ && *Value <= Range.Max_)
    return *Value;
  return Failure{ResultCode::DocumentSchema,
                 fmt::format("{}: is not a whole number from {} to {}", Field,
                             Range.Min_, Range.Max_)};
}

Result<std::int64_t> readWholeOf(const Json &Holder, const char *Field,
                                 NumberRange Range) {
  auto Found = Holder.find(Field);
  if (Found == Holder.end())
    return Failure{ResultCode::DocumentSchema,
                   fmt::format("{}: is missing", Field)};
  return readWhole(Field, *Found, Range);
}

} // namespace samphireshunt
