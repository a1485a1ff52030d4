#include "Caller.h"

#include "AnswerText.h"
#include "Connection/EventStream.h"

#include <charconv>

namespace samphireshunt::standins {

namespace {

using Json = nlohmann::json;
using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// How long the caller waits past the deadline it sends. The daemon must answer
/// by the deadline, so a call without an answer after this time is a violation.
constexpr milliseconds AnswerGrace{10000};

int numberField(const HttpResponse &Head, const std::string &Name) {
  auto Found = Head.Fields_.find(Name);
  if (Found == Head.Fields_.end())
    return -1;
  int Value = -1;
  std::from_chars(Found->second.data(),
                  Found->second.data() + Found->second.size(), Value);
  return Value;
}

std::string textField(const HttpResponse &Head, const std::string &Name) {
  auto Found = Head.Fields_.find(Name);
  return Found == Head.Fields_.end() ? std::string() : Found->second;
}

HttpRequest httpRequest(const CallRequest &Request) {
  HttpRequest Built;
  Built.Method_ = Request.Method_;
  Built.Target_ = Request.Path_;
  Built.Fields_["host"] = Request.Host_;
  Built.Fields_["authorization"] = "Bearer " + Request.CustomerKey_;
  Built.Fields_["content-type"] = "application/json";
  Built.Fields_["x-request-timeout-ms"] =
      std::to_string(Request.Timeout_.count());
  if (!Request.Tier_.empty())
    Built.Fields_["x-tier"] = Request.Tier_;
  if (!Request.IdempotencyKey_.empty())
    Built.Fields_["idempotency-key"] = Request.IdempotencyKey_;
  Json Body;
  if (Request.Mode_ == CallMode::Application) {
    Body["nonce"] = Request.Nonce_;
  } else {
    Json Message = {{"role", "user"}, {"content", Request.Prompt_}};
    Body["model"] = Request.Model_;
    Body["messages"] = Json::array({Message});
    Body["max_tokens"] = Request.MaxTokens_;
    Body["stream"] = Request.Mode_ == CallMode::Stream;
    Body["metadata"] = {{"nonce", Request.Nonce_}};
  }
  if (Request.Method_ == "GET")
    Built.Target_ += "?nonce=" + Request.Nonce_;
  else
    Built.Body_ = Body.dump();
  return Built;
}

/// Fills in a call's record from the answer as it is received.
class AnswerReader {
public:
  AnswerReader(const CallRequest &Request, CallRecord &Record)
      : Request_(Request), Record_(Record) {}

  void onHead(const HttpResponse &Head) {
    Record_.Status_ = Head.Status_;
    Record_.Code_ = numberField(Head, "x-result-code");
    Record_.ServedBy_ = textField(Head, "x-served-by");
    Record_.BackendServer_ = textField(Head, "x-backend-server");
    Record_.Replay_ = Head.Fields_.contains("idempotent-replay");
    Record_.HasRetryAfter_ = Head.Fields_.contains("retry-after");
    NamedOutcome_ = textField(Head, "x-outcome");
    IsStream_ = textField(Head, "content-type") == "text/event-stream";
  }

  void onBodyData(const std::string &Data) {
    if (!IsStream_) {
      Body_ += Data;
      return;
    }
    for (const ServerSentEvent &Event : Events_.feed(Data))
      onEvent(Event);
  }

  /// Called when the body ended as HTTP requires.
  void onEnd() {
    Record_.Complete_ = IsStream_ ? SawDone_ : true;
    Record_.Outcome_ = IsStream_ && SawDone_ ? "answered" : NamedOutcome_;
    if (IsStream_ && SawDone_)
      Record_.Code_ = 0;
    if (!IsStream_)
      readBody();
    if (Record_.Outcome_ == "answered")
      Record_.Correct_ = Record_.Text_ == expectedText();
  }

  /// Called when the connection was lost before the body ended.
  void onConnectionLost() {
    if (!NamedOutcome_.empty())
      Record_.Outcome_ = NamedOutcome_;
  }

private:
  void onEvent(const ServerSentEvent &Event) {
    if (Event.Data_ == "[DONE]") {
      SawDone_ = true;
      return;
    }
    Json Data = Json::parse(Event.Data_, nullptr, false);
    if (Event.Name_ == "error" && Data.is_object()) {
      NamedOutcome_ = Data["error"].value("outcome", "");
      Record_.Code_ = Data["error"].value("code", -1);
      return;
    }
    auto Now = steady_clock::now();
    if (Record_.Tokens_ == 0)
      Record_.FirstToken_ = duration_cast<microseconds>(Now - Started_);
    else
      Record_.LongestGap_ = std::max(
          Record_.LongestGap_, duration_cast<microseconds>(Now - LastToken_));
    LastToken_ = Now;
    ++Record_.Tokens_;
    if (Data.is_object() && Data.contains("choices"))
      Record_.Text_ += Data["choices"][0]["delta"].value("content", "");
  }

  void readBody() {
    Json Body = Json::parse(Body_, nullptr, false);
    if (!Body.is_object())
      return;
    if (Request_.Mode_ == CallMode::Application)
      Record_.Text_ = Body.value("answer", "");
    else if (Body.contains("choices"))
      Record_.Text_ = Body["choices"][0]["message"].value("content", "");
  }

  std::string expectedText() const {
    if (Request_.Mode_ == CallMode::Application)
      return applicationAnswer(Request_.Path_, Request_.Nonce_);
    return answerText(Request_.Prompt_, Request_.MaxTokens_);
  }

  const CallRequest &Request_;
  CallRecord &Record_;
  EventStream Events_;
  std::string NamedOutcome_;
  std::string Body_;
  bool IsStream_ = false;
  bool SawDone_ = false;
  steady_clock::time_point Started_ = steady_clock::now();
  steady_clock::time_point LastToken_;
};

} // namespace

Awaitable<CallRecord> call(CallRequest Request,
                           std::unique_ptr<HttpConnection> *Reused) {
  CallRecord Record;
  Record.Nonce_ = Request.Nonce_;
  Record.IdempotencyKey_ = Request.IdempotencyKey_;
  Record.Tier_ = Request.Tier_;
  auto Started = steady_clock::now();
  AnswerReader Answer(Request, Record);
  std::unique_ptr<HttpConnection> Connection;
  if (Reused && *Reused && (*Reused)->hasNoUnexpectedInput())
    Connection = std::move(*Reused);
  if (!Connection) {
    auto Connected =
        co_await HttpConnection::connect(Request.Target_, AnswerGrace);
    if (!Connected) {
      Record.Outcome_ = "unreachable";
      co_return Record;
    }
    Connection = std::move(*Connected);
  }
  milliseconds Limit = Request.Timeout_ + AnswerGrace;
  HttpRequest Outgoing = httpRequest(Request);
  auto Sent = co_await Connection->send(Outgoing, Limit);
  if (!Sent)
    co_return Record;
  auto Head = co_await Connection->readHead(Limit);
  if (!Head)
    co_return Record;
  Answer.onHead(*Head);
  while (true) {
    auto BodyData = co_await Connection->readSome(Limit);
    if (!BodyData) {
      Answer.onConnectionLost();
      break;
    }
    if (BodyData->empty()) {
      Answer.onEnd();
      break;
    }
    Answer.onBodyData(*BodyData);
  }
  Record.Total_ = duration_cast<microseconds>(steady_clock::now() - Started);
  if (Reused && Connection->reusable())
    *Reused = std::move(Connection);
  co_return Record;
}

Json CallRecord::toJson() const {
  return {{"nonce", Nonce_},
          {"key", IdempotencyKey_},
          {"tier", Tier_},
          {"outcome", Outcome_},
          {"code", Code_},
          {"status", Status_},
          {"complete", Complete_},
          {"correct", Correct_},
          {"servedBy", ServedBy_},
          {"backend", BackendServer_},
          {"replay", Replay_},
          {"retryAfter", HasRetryAfter_},
          {"firstTokenUs", FirstToken_.count()},
          {"totalUs", Total_.count()},
          {"tokens", Tokens_},
          {"longestGapUs", LongestGap_.count()}};
}

CallRecord CallRecord::fromJson(const Json &Line) {
  CallRecord Record;
  Record.Nonce_ = Line.value("nonce", "");
  Record.IdempotencyKey_ = Line.value("key", "");
  Record.Tier_ = Line.value("tier", "");
  Record.Outcome_ = Line.value("outcome", "");
  Record.Code_ = Line.value("code", -1);
  Record.Status_ = Line.value("status", 0);
  Record.Complete_ = Line.value("complete", false);
  Record.Correct_ = Line.value("correct", false);
  Record.ServedBy_ = Line.value("servedBy", "");
  Record.BackendServer_ = Line.value("backend", "");
  Record.Replay_ = Line.value("replay", false);
  Record.HasRetryAfter_ = Line.value("retryAfter", false);
  Record.FirstToken_ = microseconds(Line.value("firstTokenUs", 0LL));
  Record.Total_ = microseconds(Line.value("totalUs", 0LL));
  Record.Tokens_ = Line.value("tokens", std::size_t(0));
  Record.LongestGap_ = microseconds(Line.value("longestGapUs", 0LL));
  return Record;
}

} // namespace samphireshunt::standins
