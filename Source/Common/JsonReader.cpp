#include "Common/JsonReader.h"

#include "Common/JsonNesting.h"

namespace samphireshunt {

using Json = nlohmann::json;

Result<ParsedJson> readJson(std::string_view Text) {
  if (nestsDeeperThan(Text, MaxJsonNesting))
    return Failure{ResultCode::DocumentSchema, "is nested too deeply"};
  return readGuarded<ParsedJson>(ResultCode::DocumentSyntax, [Text] {
    return ParsedJson{Json::parse(Text)};
  });
}

Result<ParsedJson> readJsonObject(std::string_view Text) {
  auto Read = readJson(Text);
  if (Read && !Read->Root_.is_object())
    return Failure{ResultCode::DocumentSyntax, "not a JSON object"};
  return Read;
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
