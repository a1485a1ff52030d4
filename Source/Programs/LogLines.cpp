#include "Programs/LogLines.h"

#include "Common/JsonReader.h"

#include <charconv>

namespace samphireshunt {

namespace {

double numberAt(std::string_view Text, std::size_t Offset, std::size_t Length) {
  double Value = 0;
  if (Text.size() >= Offset + Length)
    std::from_chars(Text.data() + Offset, Text.data() + Offset + Length, Value);
  return Value;
}

} // namespace

std::optional<nlohmann::ordered_json> parseLogLine(std::string_view Text) {
  std::size_t Start = Text.find('{');
  if (Start == std::string_view::npos)
    return std::nullopt;
  return readOrderedJson(Text.substr(Start));
}

double secondsOfDay(std::string_view Time) {
  constexpr std::size_t Hours = 11;
  constexpr std::size_t Minutes = 14;
  constexpr std::size_t Seconds = 17;
  constexpr std::size_t SecondsLength = 6;
  constexpr double PerMinute = 60;
  return (numberAt(Time, Hours, 2) * PerMinute + numberAt(Time, Minutes, 2)) *
             PerMinute +
         numberAt(Time, Seconds, SecondsLength);
}

} // namespace samphireshunt
