#include "Request/ForwardingDialect.h"

#include <charconv>

namespace samphireshunt {

namespace {

constexpr int StatusMisdirected = 421;

const std::string &fieldOrEmpty(const HttpFields &Fields,
                                const std::string &Name) {
  static const std::string Absent;
  auto Found = Fields.find(Name);
  return Found == Fields.end() ? Absent : Found->second;
}

std::optional<Tokens> tokenField(const HttpFields &Fields,
                                 const std::string &Name) {
  auto Count = parseCount(fieldOrEmpty(Fields, Name));
  return Count ? std::optional(Tokens(*Count)) : std::nullopt;
}

CallLabels readCall(const HttpFields &Fields) {
  CallLabels Labels;
  Labels.CallId_ = fieldOrEmpty(Fields, "x-call-id");
  if (auto Millis = parseCount(fieldOrEmpty(Fields, "x-request-timeout-ms")))
    Labels.Timeout_ = std::chrono::milliseconds(*Millis);
  Labels.Prompt_ = tokenField(Fields, "x-prompt-tokens");
  Labels.MaxAnswer_ = tokenField(Fields, "x-answer-tokens");
  Labels.Parts_ = parsePromptParts(fieldOrEmpty(Fields, "x-prompt-parts"));
  Labels.AfterEvent_ = readAfterEvent(Fields);
  Labels.Resumes_ = fieldOrEmpty(Fields, "x-resumes");
  return Labels;
}

void writeForward(HttpFields &Fields, const ForwardLabels &Labels) {
  Fields["x-request-timeout-ms"] = std::to_string(Labels.Timeout_.count());
  Fields["x-expect-server"] = Labels.Server_.str();
  Fields["x-customer"] = Labels.Customer_.str();
}

AnswerLabels readAnswer(const HttpResponse &Head) {
  AnswerLabels Labels;
  Labels.CallId_ = fieldOrEmpty(Head.Fields_, "x-call-id");
  Labels.Replaced_ = Head.Status_ == StatusMisdirected;
  Labels.NotRun_ = Head.Fields_.contains("x-not-run") || Labels.Replaced_;
  Labels.HasProof_ = Head.Fields_.contains("x-answer-proof");
  return Labels;
}

Result<std::optional<RequestRate>> readOwnLimit(const HttpFields &Fields) {
  return readServerLimit(Fields, "x-server-limit");
}

void addCallId(HttpFields &Fields, const std::string &CallId) {
  if (!CallId.empty())
    Fields["x-call-id"] = CallId;
}

} // namespace

Result<std::optional<RequestRate>> readServerLimit(const HttpFields &Fields,
                                                   const std::string &Name) {
  auto Found = Fields.find(Name);
  if (Found == Fields.end())
    return std::optional<RequestRate>();
  auto Rate = parseRequestRate(Found->second);
  if (!Rate)
    return Rate.error();
  return std::optional(*Rate);
}

Result<std::optional<RejectionCount>> readBrittle(const HttpFields &Fields,
                                                  const std::string &Name) {
  auto Found = Fields.find(Name);
  if (Found == Fields.end())
    return std::optional<RejectionCount>();
  auto Survived = parseRejectionCount(Found->second);
  if (!Survived)
    return Survived.error();
  return std::optional(*Survived);
}

Result<bool> readLeaving(const HttpFields &Fields, const std::string &Name) {
  auto Found = Fields.find(Name);
  if (Found == Fields.end() || Found->second == "0")
    return false;
  if (Found->second != "1")
    return Failure{ResultCode::BadServerNotice,
                   "'" + Found->second + "' is neither 0 nor 1"};
  return true;
}

Result<std::chrono::milliseconds> readRest(const HttpResponse &Head) {
  constexpr int StatusUnavailable = 503;
  auto Found = Head.Fields_.find("retry-after");
  if (Head.Status_ != StatusUnavailable || Found == Head.Fields_.end())
    return std::chrono::milliseconds(0);
  return parseRest(Found->second);
}

std::optional<std::string> readAfterEvent(const HttpFields &Fields) {
  auto Found = Fields.find("last-event-id");
  bool Present = Found != Fields.end() && !Found->second.empty();
  return Present ? std::optional(Found->second) : std::nullopt;
}

std::optional<std::int64_t> parseCount(std::string_view Text) {
  std::int64_t Count = 0;
  const char *End = Text.data() + Text.size();
  auto Parsed = std::from_chars(Text.data(), End, Count);
  if (Parsed.ec != std::errc() || Parsed.ptr != End || Count < 0)
    return std::nullopt;
  return Count;
}

std::vector<PromptPart> parsePromptParts(std::string_view Text) {
  constexpr int Hexadecimal = 16;
  std::vector<PromptPart> Parts;
  while (!Text.empty()) {
    std::size_t Comma = std::min(Text.find(','), Text.size());
    std::string_view Item = Text.substr(0, Comma);
    Text.remove_prefix(std::min(Comma + 1, Text.size()));
    while (Item.starts_with(' '))
      Item.remove_prefix(1);
    std::size_t Colon = Item.find(':');
    if (Colon == std::string_view::npos)
      break;
    PromptPart Part;
    auto Parsed = std::from_chars(Item.data(), Item.data() + Colon, Part.Id_,
                                  Hexadecimal);
    auto Length = parseCount(Item.substr(Colon + 1));
    if (Parsed.ec != std::errc() || Parsed.ptr != Item.data() + Colon ||
        !Length)
      break;
    Part.Length_ = Tokens(*Length);
    Parts.push_back(Part);
  }
  return Parts;
}

ForwardingDialect defaultDialect() {
  ForwardingDialect Dialect;
  Dialect.ReadCall_ = readCall;
  Dialect.WriteForward_ = writeForward;
  Dialect.ReadAnswer_ = readAnswer;
  Dialect.ReadServerLimit_ = readOwnLimit;
  Dialect.ReadBrittle_ = [](const HttpFields &Fields) {
    return readBrittle(Fields, "x-server-brittle");
  };
  Dialect.ReadLeaving_ = [](const HttpFields &Fields) {
    return readLeaving(Fields, "x-server-leaving");
  };
  Dialect.ReadRest_ = readRest;
  Dialect.AddCallId_ = addCallId;
  return Dialect;
}

} // namespace samphireshunt
