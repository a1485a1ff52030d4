#pragma once
/// \file
/// The only parser of JSON that other processes, operators or stored data
/// provide. Each text is checked for its nesting depth first, because the JSON
/// library copies, compares and writes values recursively.

#include "Common/ResultCode.h"

#include <nlohmann/json.hpp>

#include <exception>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace samphireshunt {

/// The maximum number of arrays and objects inside each other. The schemas of
/// tools, the deepest part of regular requests, nest by 10 to 20 levels.
inline constexpr std::size_t MaxJsonNesting = 100;

/// Wrapped because a JSON value converts implicitly from and to most types.
struct ParsedJson {
  nlohmann::json Root_;
};

/// Parses \p Text and throws no exception. \returns DocumentSyntax if it is not
/// JSON, DocumentSchema if it nests deeper than MaxJsonNesting.
Result<ParsedJson> readJson(std::string_view Text);

/// The same, and \returns DocumentSyntax for a value that is not an object.
Result<ParsedJson> readJsonObject(std::string_view Text);

/// Takes the entries of one list out of an object while it is parsed.
struct ListTaker {
  /// The member of the outermost object whose list is taken.
  std::string_view Member_;
  /// Called at each occurrence of the member. The last one counts.
  std::function<void()> Begin_;
  /// Called for each entry of the list.
  std::function<void(const nlohmann::json &)> Entry_;
};

/// Like readJsonObject(), but the result has an empty list where \p Taker was
/// given the entries one by one, so that a long list takes no memory. A member
/// that is not a list is kept. Nothing is taken out of a text that is not JSON.
Result<ParsedJson> readJsonObject(std::string_view Text,
                                  const ListTaker &Taker);

/// \returns null for a text that readJson() refuses.
nlohmann::json readJsonOrNull(std::string_view Text);

/// Parses an object whose members keep their order. \returns nothing for a text
/// that readJsonObject() refuses.
std::optional<nlohmann::ordered_json> readOrderedJson(std::string_view Text);

/// \returns whether \p Text is a whole JSON value. No value is built, so the
/// nesting depth does not matter.
bool isJson(std::string_view Text);

/// \returns whether \p Text is UTF-8, as JSON has to be.
bool isUtf8(std::string_view Text);

/// \returns \p Text with each byte that is no part of a UTF-8 sequence replaced
/// by U+FFFD.
std::string withReplacedBytes(std::string_view Text);

/// \returns what \p Read returns, or a failure with \p Code if it throws. Bad
/// data causes exceptions of the JSON library and of the standard library
/// alike; one that escaped would end the reading coroutine.
template <class Value, class Reading>
Result<Value> readGuarded(ResultCode Code, Reading Read) {
  try {
    return Read();
  } catch (const std::exception &Error) {
    // The library quotes the text, which may be megabytes, up to the error.
    constexpr std::size_t MaxDetailBytes = 200;
    std::string_view What(Error.what());
    return Failure{Code, std::string(What.substr(0, MaxDetailBytes))};
  }
}

} // namespace samphireshunt
