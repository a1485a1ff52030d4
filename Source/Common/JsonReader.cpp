#include "Common/JsonReader.h"

#include "Common/JsonNesting.h"
#include "Common/ListEvents.h"

#include <algorithm>

namespace samphireshunt {

using Json = nlohmann::json;

namespace {

/// \returns the length of the UTF-8 sequence at the beginning of \p Text, which
/// is not empty; 0 if there is none. Overlong sequences, surrogates and numbers
/// above U+10FFFF are none: the second byte decides.
std::size_t sequenceLength(std::string_view Text) {
  auto Byte = [Text](std::size_t Index) {
    return static_cast<unsigned char>(Text[Index]);
  };
  unsigned First = Byte(0);
  if (First < 0x80)
    return 1;
  if (First < 0xC2 || First > 0xF4)
    return 0;
  std::size_t Length = First < 0xE0 ? 2 : First < 0xF0 ? 3 : 4;
  if (Text.size() < Length)
    return 0;
  unsigned Least = First == 0xE0 ? 0xA0 : First == 0xF0 ? 0x90 : 0x80;
  unsigned Most = First == 0xED ? 0x9F : First == 0xF4 ? 0x8F : 0xBF;
  if (Byte(1) < Least || Byte(1) > Most)
    return 0;
  for (std::size_t Index = 2; Index < Length; ++Index)
    if (Byte(Index) < 0x80 || Byte(Index) > 0xBF)
      return 0;
  return Length;
}

} // namespace

bool isUtf8(std::string_view Text) {
  while (!Text.empty()) {
    std::size_t Length = sequenceLength(Text);
    if (Length == 0)
      return false;
    Text.remove_prefix(Length);
  }
  return true;
}

std::string withReplacedBytes(std::string_view Text) {
  std::string Replaced;
  while (!Text.empty()) {
    std::size_t Length = sequenceLength(Text);
    Replaced += Length == 0 ? "\xef\xbf\xbd" : Text.substr(0, Length);
    Text.remove_prefix(std::max<std::size_t>(Length, 1));
  }
  return Replaced;
}

namespace {

/// \returns what \p Read returns or throws, unless \p Text nests too deeply.
template <class Reading>
Result<ParsedJson> readBounded(std::string_view Text, Reading Read) {
  if (nestsDeeperThan(Text, MaxJsonNesting))
    return Failure{ResultCode::DocumentSchema, "is nested too deeply"};
  return readGuarded<ParsedJson>(ResultCode::DocumentSyntax, std::move(Read));
}

Result<ParsedJson> onlyObject(Result<ParsedJson> Read) {
  if (Read && !Read->Root_.is_object())
    return Failure{ResultCode::DocumentSyntax, "not a JSON object"};
  return Read;
}

} // namespace

Result<ParsedJson> readJson(std::string_view Text) {
  return readBounded(Text, [&] { return ParsedJson{Json::parse(Text)}; });
}

Result<ParsedJson> readJsonObject(std::string_view Text) {
  return onlyObject(readJson(Text));
}

Result<ParsedJson> readJsonObject(std::string_view Text,
                                  const ListTaker &Taker) {
  return onlyObject(readBounded(Text, [&]() -> Result<ParsedJson> {
    if (!isJson(Text))
      return Failure{ResultCode::DocumentSyntax, "not JSON"};
    ListEvents<Json> Events(Taker.Member_, Taker.Begin_, Taker.Entry_);
    Json::sax_parse(Text, &Events);
    return ParsedJson{Events.takeKept()};
  }));
}

Json readJsonOrNull(std::string_view Text) {
  auto Read = readJson(Text);
  return Read ? std::move(Read->Root_) : Json();
}

std::optional<nlohmann::ordered_json> readOrderedJson(std::string_view Text) {
  if (nestsDeeperThan(Text, MaxJsonNesting))
    return std::nullopt;
  auto Read = nlohmann::ordered_json::parse(Text, nullptr, false);
  if (!Read.is_object())
    return std::nullopt;
  return Read;
}

bool isJson(std::string_view Text) { return Json::accept(Text); }

} // namespace samphireshunt
