#include "Common/BoundedNumber.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <cmath>
#include <optional>
#include <ratio>
#include <utility>

namespace samphireshunt {

namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

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

Result<std::uint64_t> readUnsignedOf(const Json &Holder, const char *Field) {
  auto Found = Holder.find(Field);
  if (Found != Holder.end() && Found->is_number_unsigned())
    return Found->get<std::uint64_t>();
  return Failure{ResultCode::DocumentSchema,
                 fmt::format("{}: is not an unsigned 64-bit integer", Field)};
}

Result<milliseconds> readTime(std::string_view Field, double Millis) {
  if (Millis >= 0 && Millis <= static_cast<double>(MaxReadTime.count()))
    return milliseconds(static_cast<std::int64_t>(Millis));
  return Failure{ResultCode::DocumentSchema,
                 fmt::format("{}: is not a time from 0 to {} ms", Field,
                             MaxReadTime.count())};
}

void NumberFields::note(const Failure &Cause) {
  if (Problem_.empty())
    Problem_ = Cause.Detail_;
}

std::int64_t NumberFields::whole(const char *Field, std::int64_t Default,
                                 NumberRange Range) {
  auto Found = Holder_.find(Field);
  if (Found == Holder_.end())
    return Default;
  auto Read = readWhole(Field, *Found, Range);
  if (!Read)
    note(Read.error());
  return Read ? *Read : Default;
}

double NumberFields::real(const char *Field, double Default) {
  auto Found = Holder_.find(Field);
  if (Found == Holder_.end())
    return Default;
  constexpr auto Max = static_cast<double>(MaxExactInteger);
  double Value = Found->is_number() ? Found->get<double>() : -1;
  if (Value >= 0 && Value <= Max)
    return Value;
  note({ResultCode::DocumentSchema,
        fmt::format("{}: is not a number from 0 to {}", Field,
                    MaxExactInteger)});
  return Default;
}

milliseconds NumberFields::time(const char *Field, milliseconds Default) {
  auto Found = Holder_.find(Field);
  if (Found == Holder_.end() || !Found->is_number())
    return Default;
  auto Read = readTime(Field, Found->get<double>());
  if (!Read)
    note(Read.error());
  return Read ? *Read : Default;
}

milliseconds NumberFields::seconds(const char *Field) {
  auto Read = readTime(Field, real(Field, 0) * std::milli::den);
  if (!Read)
    note(Read.error());
  return Read ? *Read : milliseconds(0);
}

} // namespace samphireshunt
