#include "Request/ForwardingDialect.h"

#include "Common/JsonReader.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <iterator>
#include <limits>

namespace samphireshunt {

namespace {

constexpr int StatusMisdirected = 421;
/// Messages between daemons carry counts of this size, and sums of several fit.
constexpr std::int64_t MaxCount = std::numeric_limits<std::uint32_t>::max();

std::optional<Tokens> tokenField(const HttpFields &Fields,
                                 std::string_view Name) {
  return parseTokens(Fields.only(Name));
}

/// Reads the value of a field of an answer with \p Parse. \returns
/// \p Absent if there is none, \p Repeated if it is there more than once.
template <class Value, class Parser>
Result<Value> readNotice(const HttpFields &Fields, const std::string &Name,
                         Value Absent, ResultCode Repeated, Parser Parse) {
  auto Found = Fields.find(Name);
  if (Found == Fields.end())
    return Absent;
  if (Fields.count(Name) > 1)
    return Failure{Repeated, "more than one field '" + Name + "'"};
  return Parse(Found->second);
}

CallLabels readCall(const HttpFields &Fields) {
  CallLabels Labels;
  Labels.CallId_ = std::string(Fields.only("x-call-id"));
  if (auto Millis = parseCount(Fields.only("x-request-timeout-ms")))
    Labels.Timeout_ = std::chrono::milliseconds(*Millis);
  Labels.Prompt_ = tokenField(Fields, "x-prompt-tokens");
  Labels.MaxAnswer_ = tokenField(Fields, "x-answer-tokens");
  Labels.Parts_ = parsePromptParts(Fields.only("x-prompt-parts"));
  Labels.AfterEvent_ = readAfterEvent(Fields);
  Labels.Resumes_ = std::string(Fields.only("x-resumes"));
  Labels.ExpectsVersion_ = Fields.contains("x-expect-version");
  return Labels;
}

void writeForward(HttpFields &Fields, const ForwardLabels &Labels) {
  Fields.erase("x-memory-from");
  Fields.erase("x-memory-backup");
  if (Labels.MemoryFrom_)
    Fields["x-memory-from"] = Labels.MemoryFrom_->Handle_;
  if (Labels.BackupTo_)
    Fields["x-memory-backup"] = formatEndpoint(*Labels.BackupTo_);
  Fields["x-request-timeout-ms"] = std::to_string(Labels.Timeout_.count());
  Fields["x-expect-server"] = Labels.Server_.str();
  Fields["x-customer"] = Labels.Customer_.str();
}

AnswerLabels readAnswer(const HttpResponse &Head) {
  AnswerLabels Labels;
  Labels.CallId_ = std::string(Head.Fields_.only("x-call-id"));
  Labels.Misdirected_ = Head.Status_ == StatusMisdirected;
  Labels.AnsweredBy_ = ServerName(std::string(Head.Fields_.only("x-server")));
  Labels.NotRun_ = Head.Fields_.contains("x-not-run") || Labels.Misdirected_;
  Labels.HasProof_ = Head.Fields_.contains("x-answer-proof");
  auto Percent = parseCount(Head.Fields_.only("x-work-time-percent"));
  if (Percent)
    Labels.WorkTimePercent_ = static_cast<std::uint32_t>(*Percent);
  return Labels;
}

HttpRequest writeMove(const MoveOrder &Order) {
  HttpRequest Request;
  Request.Method_ = "POST";
  Request.Target_ = "/v1/runs/" + Order.CallId_ + "/move";
  Request.Fields_["content-type"] = "application/json";
  nlohmann::json Body = {{"to", formatEndpoint(Order.To_)},
                         {"stop", Order.Stop_}};
  Request.Body_ = Body.dump();
  return Request;
}

HttpRequest writeRelease(const std::string &Handle) {
  HttpRequest Request;
  Request.Method_ = "DELETE";
  Request.Target_ = "/v1/memory/" + Handle;
  return Request;
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
  using Read = std::optional<RequestRate>;
  auto Parse = [](const std::string &Text) -> Result<Read> {
    auto Rate = parseRequestRate(Text);
    if (!Rate)
      return Rate.error();
    return Read(*Rate);
  };
  return readNotice(Fields, Name, Read(), ResultCode::BadServerLimit, Parse);
}

Result<std::optional<RejectionCount>> readBrittle(const HttpFields &Fields,
                                                  const std::string &Name) {
  using Read = std::optional<RejectionCount>;
  auto Parse = [](const std::string &Text) -> Result<Read> {
    auto Survived = parseRejectionCount(Text);
    if (!Survived)
      return Survived.error();
    return Read(*Survived);
  };
  return readNotice(Fields, Name, Read(), ResultCode::BadServerNotice, Parse);
}

Result<bool> readLeaving(const HttpFields &Fields, const std::string &Name) {
  auto Parse = [](const std::string &Text) -> Result<bool> {
    if (Text != "0" && Text != "1")
      return Failure{ResultCode::BadServerNotice,
                     "'" + Text + "' is neither 0 nor 1"};
    return Text == "1";
  };
  return readNotice(Fields, Name, false, ResultCode::BadServerNotice, Parse);
}

Result<std::chrono::milliseconds> readRest(const HttpResponse &Head) {
  constexpr int StatusUnavailable = 503;
  constexpr std::chrono::milliseconds None{0};
  if (Head.Status_ != StatusUnavailable)
    return None;
  return readNotice(Head.Fields_, "retry-after", None,
                    ResultCode::BadServerNotice, parseRest);
}

Answerer answererOf(const AnswerLabels &Answer, const CallLabels &Call,
                    const ServerName &Intended) {
  bool Named = !Answer.AnsweredBy_.empty();
  if (!Answer.Misdirected_ || (Named && Answer.AnsweredBy_ == Intended))
    return Answerer::Intended;
  return Named || !Call.ExpectsVersion_ ? Answerer::Other : Answerer::Unknown;
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
  return std::min(Count, MaxCount);
}

std::optional<Tokens> parseTokens(std::string_view Text) {
  if (auto Count = parseCount(Text))
    return Tokens(*Count);
  bool TooLarge =
      !Text.empty() && Text.find_first_not_of("0123456789") == Text.npos;
  return TooLarge ? std::optional(Tokens(MaxCount)) : std::nullopt;
}

Result<MoveAnswer> readMoveAnswer(const HttpResponse &Answer,
                                  const std::string &HandleField,
                                  const std::string &EventsField) {
  constexpr int StatusOk = 200;
  constexpr int StatusNotFound = 404;
  constexpr int StatusConflict = 409;
  constexpr int StatusUnavailable = 503;
  MoveAnswer Read;
  if (Answer.Status_ == StatusNotFound)
    return Read;
  Read.Result_ = MoveResult::Busy;
  if (Answer.Status_ == StatusConflict)
    return Read;
  bool Copied = Answer.Status_ == StatusOk;
  if (!Copied && Answer.Status_ != StatusUnavailable)
    return Failure{ResultCode::BadMemoryAnswer,
                   "status " + std::to_string(Answer.Status_)};
  Read.Result_ = Copied ? MoveResult::Copied : MoveResult::NotCopied;
  auto Body = readJsonOrNull(Answer.Body_);
  if (!Body.is_object())
    return Failure{ResultCode::BadMemoryAnswer, "no JSON object"};
  if (Body.contains(HandleField) && Body[HandleField].is_string())
    Read.Handle_ = Body[HandleField].get<std::string>();
  if (Body.contains(EventsField) && Body[EventsField].is_number_unsigned())
    Read.Events_ = Body[EventsField].get<std::size_t>();
  if (Copied && Read.Handle_.empty())
    return Failure{ResultCode::BadMemoryAnswer, "no handle"};
  return Read;
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

DialectFields ownInterfaceFields() {
  DialectFields Fields;
  Fields.Names_ = {"x-request-timeout-ms", "x-tier"};
  return Fields;
}

ForwardingDialect defaultDialect() {
  ForwardingDialect Dialect;
  DialectFields Fields = ownInterfaceFields();
  std::ranges::copy(std::array{"x-answer-tokens", "x-call-id", "x-customer",
                               "x-expect-server", "x-expect-version",
                               "x-memory-backup", "x-memory-from",
                               "x-prompt-parts", "x-prompt-tokens",
                               "x-resumes"},
                    std::back_inserter(Fields.Names_));
  Fields.AnswerNames_ = {"x-answer-proof", "x-call-id", "x-server"};
  Dialect.Fields_ = FieldRules(std::move(Fields));
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
  Dialect.Memory_.WriteMove_ = writeMove;
  Dialect.Memory_.ReadMove_ = [](const HttpResponse &Answer) {
    return readMoveAnswer(Answer, "handle", "events");
  };
  Dialect.Memory_.WriteRelease_ = writeRelease;
  return Dialect;
}

} // namespace samphireshunt
