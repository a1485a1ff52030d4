#include "Connection/FieldRules.h"

#include <absl/strings/str_split.h>

#include <algorithm>
#include <array>

namespace samphireshunt {

namespace {

/// Fields of one connection, and Content-Length, which is computed again when
/// the message is sent.
constexpr std::array<std::string_view, 10> HopFields = {"connection",
                                                        "content-length",
                                                        "keep-alive",
                                                        "proxy-authenticate",
                                                        "proxy-authorization",
                                                        "proxy-connection",
                                                        "te",
                                                        "trailer",
                                                        "transfer-encoding",
                                                        "upgrade"};
/// Fields of requests that hold one value.
constexpr std::array<std::string_view, 21> SingleFields = {
    "authorization",
    "content-length",
    "content-location",
    "content-range",
    "content-type",
    "date",
    "from",
    "host",
    "idempotency-key",
    "if-modified-since",
    "if-range",
    "if-unmodified-since",
    "last-event-id",
    "max-forwards",
    "origin",
    "proxy-authorization",
    "range",
    "referer",
    "traceparent",
    "user-agent",
    "x-http-method-override"};
/// Fields of answers that hold one value, and without which the body can't be
/// read.
constexpr std::array<std::string_view, 4> SingleAnswerFields = {
    "content-length", "content-range", "content-type", "location"};
/// Further fields that are meant for the receiver at the other end.
constexpr std::array<std::string_view, 30> EndToEndFields = {
    "accept",
    "accept-charset",
    "accept-encoding",
    "accept-language",
    "accept-ranges",
    "age",
    "allow",
    "cache-control",
    "content-disposition",
    "content-encoding",
    "content-language",
    "cookie",
    "etag",
    "expires",
    "forwarded",
    "if-match",
    "if-none-match",
    "last-modified",
    "link",
    "location",
    "pragma",
    "prefer",
    "retry-after",
    "server",
    "set-cookie",
    "tracestate",
    "vary",
    "via",
    "warning",
    "www-authenticate"};

static_assert(std::ranges::is_sorted(HopFields));
static_assert(std::ranges::is_sorted(SingleFields));
static_assert(std::ranges::is_sorted(SingleAnswerFields));
static_assert(std::ranges::is_sorted(EndToEndFields));

template <std::size_t Count>
bool isAmong(const std::array<std::string_view, Count> &Sorted,
             std::string_view Name) {
  return std::ranges::binary_search(Sorted, Name);
}

bool isAmong(const std::vector<std::string> &Names, std::string_view Name) {
  return std::ranges::find(Names, Name) != Names.end();
}

std::string hyphenated(std::string_view Name) {
  std::string Read(Name);
  std::ranges::replace(Read, '_', '-');
  return Read;
}

/// \returns the names that all lines of the field Connection list.
std::vector<std::string> listedNames(const HttpFields &Fields) {
  std::vector<std::string> Names;
  auto [First, Last] = Fields.equal_range("connection");
  for (auto Line = First; Line != Last; ++Line) {
    std::string List = lowerCase(Line->second);
    for (absl::string_view Name :
         absl::StrSplit(List, absl::ByAnyChar(", \t"), absl::SkipEmpty()))
      Names.emplace_back(Name);
  }
  return Names;
}

/// \returns a fault that names the first bytes of \p Name.
std::string quoted(std::string_view Fault, std::string_view Name) {
  constexpr std::size_t MaxNameBytes = 64;
  return std::string(Fault) + " '" + std::string(Name.substr(0, MaxNameBytes)) +
         "'";
}

/// \returns the first name with several lines for which \p IsSingle.
template <class Check>
std::optional<std::string> repeatedName(const HttpFields &Fields,
                                        Check IsSingle) {
  auto Next = std::ranges::adjacent_find(
      Fields, [&](const auto &Line, const auto &After) {
        return Line.first == After.first && IsSingle(Line.first);
      });
  return Next == Fields.end() ? std::nullopt : std::optional(Next->first);
}

} // namespace

std::optional<std::string>
FieldRules::requestFault(const HttpFields &Fields) const {
  auto Repeated = repeatedName(
      Fields, [this](std::string_view Name) { return isSingle(Name); });
  if (Repeated)
    return quoted("more than one field", *Repeated);
  for (const std::string &Name : listedNames(Fields))
    if (isEndToEnd(Name))
      return quoted("Connection lists the field", Name);
  for (const auto &[Name, Value] : Fields) {
    if (Name.find('_') == std::string::npos)
      continue;
    std::string Meant = hyphenated(Name);
    if (isSingle(Meant) || isAmong(HopFields, Meant))
      return quoted("an underscore in the field", Name);
  }
  return std::nullopt;
}

std::optional<std::string>
FieldRules::answerFault(const HttpFields &Fields) const {
  auto Repeated = repeatedName(Fields, [this](std::string_view Name) {
    return isAmong(SingleAnswerFields, Name) ||
           isAmong(Dialect_.AnswerNames_, Name);
  });
  return Repeated ? std::optional(quoted("more than one field", *Repeated))
                  : std::nullopt;
}

void FieldRules::removeHopFields(HttpFields &Fields) const {
  for (const std::string &Name : listedNames(Fields))
    if (!isEndToEnd(Name))
      Fields.erase(Name);
  for (std::string_view Name : HopFields)
    Fields.erase(Name);
}

bool FieldRules::isSingle(std::string_view Name) const {
  bool HasPrefix =
      !Dialect_.Prefix_.empty() && Name.starts_with(Dialect_.Prefix_);
  return HasPrefix || isAmong(SingleFields, Name) ||
         isAmong(Dialect_.Names_, Name);
}

bool FieldRules::isEndToEnd(std::string_view Name) const {
  if (isAmong(HopFields, Name))
    return false;
  return isSingle(Name) || isAmong(EndToEndFields, Name) ||
         isAmong(Dialect_.AnswerNames_, Name);
}

} // namespace samphireshunt
