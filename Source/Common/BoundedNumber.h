#pragma once
/// \file
/// Numbers from outside the process, each with the range that its reader can
/// calculate with. A conversion of a larger number is undefined and differs
/// between processors. Pure.

#include "Common/ResultCode.h"

#include <nlohmann/json_fwd.hpp>

#include <chrono>
#include <cstdint>
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

} // namespace samphireshunt
