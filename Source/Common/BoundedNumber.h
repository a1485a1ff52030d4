#pragma once
/// \file
/// Numbers from outside the process, each with the range that its reader can
/// calculate with. A conversion of a larger number is undefined and differs
/// between processors. Pure.

#include "Common/ResultCode.h"

#include <nlohmann/json_fwd.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace samphireshunt {

/// Larger integers aren't exact in JSON, where numbers may be stored as
/// doubles.
inline constexpr std::int64_t MaxExactInteger = (std::int64_t(1) << 53) - 1;

/// The limits of a number, both included.
struct NumberRange {
  std::int64_t Min_ = 0;
  std::int64_t Max_ = MaxExactInteger;
};

/// Reads a whole number; 7.0 is one. \returns DocumentSchema, with the name of
/// the field, if \p Given is none or lies outside of \p Range.
Result<std::int64_t> readWhole(std::string_view Field,
                               const nlohmann::json &Given, NumberRange Range);
/// Reads the whole number \p Field of the object \p Holder, which must contain
/// it.
Result<std::int64_t> readWholeOf(const nlohmann::json &Holder,
                                 const char *Field, NumberRange Range);

/// Reads a number that only has to be kept, as an era of the service: any
/// unsigned integer of 64 bits. \returns DocumentSchema, with the name of the
/// field, for anything else.
Result<std::uint64_t> readUnsignedOf(const nlohmann::json &Holder,
                                     const char *Field);

/// The longest time that is read. Several of them, in nanoseconds, can be added
/// to a time point.
inline constexpr std::chrono::milliseconds MaxReadTime =
    std::chrono::hours(24 * 365);

/// Reads a time that is given as \p Millis. A fraction is rounded down.
/// \returns DocumentSchema unless it is from 0 to MaxReadTime.
Result<std::chrono::milliseconds> readTime(std::string_view Field,
                                           double Millis);

/// Reads numbers of an object that may lack them, and keeps the first problem.
class NumberFields {
public:
  /// \p Problem, unless it is empty, gets no other text. Both must live longer.
  NumberFields(const nlohmann::json &Holder, std::string &Problem)
      : Holder_(Holder), Problem_(Problem) {}

  /// These return \p Default if the field is missing or wrong.
  std::int64_t whole(const char *Field, std::int64_t Default,
                     NumberRange Range = {});
  /// A number from 0 to MaxExactInteger.
  double real(const char *Field, double Default);
  /// A time in milliseconds. A value that is no number counts as missing.
  std::chrono::milliseconds time(const char *Field,
                                 std::chrono::milliseconds Default);
  /// A time in seconds.
  std::chrono::milliseconds seconds(const char *Field);

private:
  void note(const Failure &Cause);

  const nlohmann::json &Holder_;
  std::string &Problem_;
};

} // namespace samphireshunt
