/// \file
/// A request to a model engine. The engine is always asked for a stream, also
/// for a caller who wants one answer: so progress is seen, silence is noticed,
/// and a cut stream can be resumed where it broke.

#include "Common/Log.h"
#include "Connection/EventStream.h"
#include "Request/RequestContext.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/this_coro.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <charconv>
#include <memory>

namespace samphireshunt {

namespace {

namespace asio = boost::asio;
using Json = nlohmann::json;
using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// Silence after which a stream's connection is taken for dead.
constexpr milliseconds SilenceTimeout{1000};
constexpr milliseconds ResumeTimeout{1000};
/// Resumes in a row that brought no event.
constexpr int MaxIdleResumes = 8;
constexpr std::string_view LastEvent = "[DONE]";

/// Cancels a request at its engine. Also for one that the engine has not seen
/// yet: it remembers the id and refuses it later. \returns the answer's status
/// and text.
Awaitable<Result<HttpResponse>> cancelAt(Endpoint Address, RequestId Id) {
  HttpRequest Request;
  Request.Method_ = "DELETE";
  Request.Target_ = "/v1/requests/" + Id.str();
  return httpCall(Address, std::move(Request), ResumeTimeout);
}

/// The number in an event's id "<request>:<number>", when the event belongs
/// to \p Id.
std::optional<std::uint64_t> eventNumber(const ServerSentEvent &Event,
                                         const RequestId &Id) {
  std::size_t Colon = Event.Id_.find(':');
  if (Colon == std::string::npos || Event.Id_.substr(0, Colon) != Id.str())
    return std::nullopt;
  std::uint64_t Number = 0;
  const char *Begin = Event.Id_.data() + Colon + 1;
  const char *End = Event.Id_.data() + Event.Id_.size();
  auto Parsed = std::from_chars(Begin, End, Number);
  if (Parsed.ec != std::errc() || Parsed.ptr != End)
    return std::nullopt;
  return Number;
}

/// Shared with nobody: who may end it holds it weakly, since both the caller's
/// leaving and the keeper's cancellation may come when it has ended.
class ModelCall : public std::enable_shared_from_this<ModelCall> {
public:
  explicit ModelCall(RequestContext &Context) : Context_(Context) {}

  Awaitable<void> run() {
    Streaming_ = wantsStream();
    SeekOptions Options;
    Options.MaxIdle_ = ProvedMaxIdle;
    auto Obtained = co_await obtainServer(Context_, std::move(Options));
    if (auto *Refused = std::get_if<Verdict>(&Obtained)) {
      Verdict Ended = std::move(*Refused);
      co_return co_await answerVerdict(Context_, std::move(Ended));
    }
    Ready_ = std::move(std::get<ReadyServer>(Obtained));
    Dispatched_ = steady_clock::now();
    co_await listenForCancel();
    std::optional<Verdict> Broken = co_await exchange();
    Context_.Services_.Grants_.done(Context_.Id_, sample(!Broken));
    if (Broken)
      co_await answerBroken(std::move(*Broken));
    else
      co_await answerWhole();
  }

private:
  bool wantsStream() const {
    Json Body = Json::parse(Context_.Exchange_.request().Body_, nullptr, false);
    return Body.is_object() && Body.value("stream", false);
  }

  /// The keeper may take the engine for a higher tier, and the caller may
  /// leave: both end the read that is under way.
  Awaitable<void> listenForCancel() {
    auto Executor = co_await asio::this_coro::executor;
    auto Stop = [Weak = weak_from_this(), Executor] {
      asio::post(Executor, [Weak] {
        if (auto Present = Weak.lock())
          Present->cancel();
      });
    };
    Context_.Services_.Grants_.dispatched(Context_.Id_, std::move(Stop));
    Context_.Exchange_.onCallerLeft([Weak = weak_from_this()] {
      if (auto Present = Weak.lock())
        Present->callerLeft();
    });
  }

  void cancel() {
    Cancelled_ = true;
    closeConnection();
  }
  void callerLeft() {
    CallerLeft_ = true;
    closeConnection();
  }
  /// After a whole answer the connection is kept for other requests.
  void closeConnection() {
    if (Ready_.Connection_)
      Ready_.Connection_->close();
  }

  /// Sends the request and reads the answer to its end. \returns nothing when
  /// it came whole.
  Awaitable<std::optional<Verdict>> exchange() {
    std::size_t SpanNumber = Context_.Trace_.begin("dispatch");
    Context_.Trace_.attribute(SpanNumber, "server", Ready_.Server_.Name_.str());
    FirstTokenSpan_ = Context_.Trace_.begin("first-token");
    HttpRequest Request = backendRequest(Context_, SpanNumber);
    Json Body = Json::parse(Request.Body_, nullptr, false);
    Body["stream"] = true;
    Request.Body_ = Body.dump();
    auto Sent =
        co_await Ready_.Connection_->send(Request, Context_.remaining());
    Context_.Trace_.end(SpanNumber);
    std::optional<Verdict> Broken;
    bool Attached = Sent.has_value();
    if (Attached) {
      auto Head = co_await Ready_.Connection_->readHead(
          std::min(SilenceTimeout, Context_.remaining()));
      Attached = Head.has_value();
      if (Attached && Head->Status_ != 200)
        co_return co_await refusedHead(std::move(*Head));
    }
    while (!Whole_ && !Broken) {
      if (Attached)
        Broken = co_await readEvents();
      if (Whole_ || Broken)
        break;
      Broken = endedEarly();
      if (!Broken) {
        auto Resumed = co_await resume();
        if (Resumed)
          Broken = std::move(*Resumed);
        Attached = !Broken;
      }
    }
    if (Broken)
      co_await stopEngine(*Broken);
    co_return Broken;
  }

  Awaitable<std::optional<Verdict>> refusedHead(HttpResponse Head) {
    Verdict Ended;
    // Only a server that is declared to refuse before it runs anything may be
    // believed: another one's 503 can come from the middle of a run.
    bool Refused = Ready_.Server_.RefusesBeforeRunning_ &&
                   (Head.Status_ == 503 || Head.Status_ == 429);
    Ended.Outcome_ = Refused ? Outcome::NotRun : Outcome::Unknown;
    Ended.Code_ =
        Refused ? ResultCode::RefusedByServer : ResultCode::ServerError;
    Ended.Detail_ = fmt::format("status {}", Head.Status_);
    Ready_.Connection_->close();
    co_return Ended;
  }

  /// Reads until the connection breaks or the answer is whole.
  Awaitable<std::optional<Verdict>> readEvents() {
    EventStream Parser;
    while (!Whole_) {
      auto Part = co_await Ready_.Connection_->readSome(
          std::min(SilenceTimeout, Context_.remaining()));
      if (!Part || Part->empty())
        co_return std::nullopt;
      for (ServerSentEvent &Event : Parser.feed(*Part)) {
        auto Broken = co_await take(std::move(Event));
        if (Broken || Whole_)
          co_return Broken;
      }
    }
    co_return std::nullopt;
  }

  /// One event: it must be this request's, and the next in number.
  Awaitable<std::optional<Verdict>> take(ServerSentEvent Event) {
    auto Number = eventNumber(Event, Context_.Id_);
    if (!Number) {
      Verdict Crossed;
      Crossed.Outcome_ = Begun_ ? Outcome::Partial : Outcome::Unknown;
      Crossed.Code_ = ResultCode::CrossedAnswer;
      co_return Crossed;
    }
    if (*Number != NextEvent_)
      co_return std::nullopt; // Sent again after a resume.
    ++NextEvent_;
    IdleResumes_ = 0;
    if (NextEvent_ == 1)
      noteFirstToken();
    if (Event.Data_ == LastEvent) {
      Whole_ = true;
      co_return std::nullopt;
    }
    if (!Streaming_) {
      collect(Event.Data_);
      co_return std::nullopt;
    }
    ServerSentEvent Forwarded;
    Forwarded.Data_ = std::move(Event.Data_);
    co_await forward(formatEvent(Forwarded));
    co_return std::nullopt;
  }

  void noteFirstToken() {
    FirstToken_ =
        duration_cast<microseconds>(steady_clock::now() - Dispatched_);
    Context_.Services_.Grants_.firstToken(Context_.Id_, FirstToken_);
    Context_.Trace_.end(FirstTokenSpan_);
    Context_.Trace_.begin("stream");
  }

  void collect(const std::string &Data) {
    Json Chunk = Json::parse(Data, nullptr, false);
    if (!Chunk.is_object() || !Chunk.contains("choices"))
      return;
    Model_ = Chunk.value("model", Model_);
    for (const Json &Choice : Chunk["choices"]) {
      Json Delta = Choice.value("delta", Json::object());
      Collected_ += Delta.value("content", "");
      if (Choice.contains("finish_reason") &&
          Choice["finish_reason"].is_string())
        FinishReason_ = Choice["finish_reason"];
    }
  }

  Awaitable<void> forward(std::string Text) {
    if (!Begun_) {
      HttpResponse Head;
      Head.Fields_["content-type"] = "text/event-stream";
      Head.Fields_["cache-control"] = "no-store";
      Head.Fields_["x-request-id"] = Context_.Id_.str();
      Head.Fields_["x-served-by"] = Context_.Services_.Vm_.str();
      Head.Fields_["x-backend-server"] = Ready_.Server_.Name_.str();
      Begun_ = true;
      CallerLeft_ |= !co_await Context_.Exchange_.beginStream(std::move(Head));
    }
    if (!CallerLeft_)
      CallerLeft_ |= !co_await Context_.Exchange_.writeChunk(std::move(Text));
    if (CallerLeft_)
      closeConnection();
  }

  /// A reason not to go on after the connection broke.
  std::optional<Verdict> endedEarly() const {
    Verdict Ended;
    Ended.Outcome_ = Begun_ ? Outcome::Partial : Outcome::Unknown;
    if (CallerLeft_)
      Ended.Code_ = ResultCode::CallerLeft;
    else if (Cancelled_)
      Ended.Code_ = ResultCode::CancelledForHigherTier;
    else if (Context_.expired())
      Ended.Code_ = ResultCode::AnswerTimeout;
    else if (IdleResumes_ >= MaxIdleResumes)
      Ended.Code_ = ResultCode::StreamBroken;
    else
      return std::nullopt;
    return Ended;
  }

  /// A connection can break or go silent in the middle of an answer while the
  /// engine works on. The same engine is asked on a new connection for the
  /// rest; that is no second dispatch, since it runs nothing anew.
  Awaitable<std::optional<Verdict>> resume() {
    ++IdleResumes_;
    Ready_.Connection_->close();
    auto Connected = co_await HttpConnection::connect(
        Ready_.Server_.Address_, std::min(ResumeTimeout, Context_.remaining()));
    Verdict Broken;
    Broken.Outcome_ = Begun_ ? Outcome::Partial : Outcome::Unknown;
    Broken.Code_ =
        Begun_ ? ResultCode::StreamBroken : ResultCode::ConnectionLost;
    if (!Connected) {
      Broken.Detail_ = Connected.error().Detail_;
      co_return Broken;
    }
    Ready_.Connection_ = std::move(*Connected);
    HttpRequest Request;
    Request.Target_ =
        fmt::format("/v1/requests/{}?from={}", Context_.Id_.str(), NextEvent_);
    auto Sent = co_await Ready_.Connection_->send(Request, ResumeTimeout);
    if (!Sent)
      co_return std::nullopt; // The next try opens another connection.
    auto Head = co_await Ready_.Connection_->readHead(ResumeTimeout);
    if (!Head || Head->Status_ == 200)
      co_return std::nullopt;
    bool NeverSeen = Head->Status_ == 404 && NextEvent_ == 0;
    if (NeverSeen && co_await proveNotRun()) {
      Broken.Outcome_ = Outcome::NotRun;
      Broken.Code_ = ResultCode::RefusedByServer;
    }
    Broken.Detail_ = fmt::format("resume: status {}", Head->Status_);
    co_return Broken;
  }

  /// The engine does not know the request: its bytes were lost, or are still
  /// on their way on the dead connection. A cancellation makes the engine
  /// refuse the id from now on; only its answer proves that nothing will run.
  Awaitable<bool> proveNotRun() {
    if (!Ready_.Server_.RefusesBeforeRunning_)
      co_return false;
    auto Response = co_await cancelAt(Ready_.Server_.Address_, Context_.Id_);
    if (!Response || Response->Status_ != 200)
      co_return false;
    Json Body = Json::parse(Response->Body_, nullptr, false);
    co_return Body.is_object() && Body.value("state", "") == "never-seen";
  }

  /// Nobody wants the rest: the engine's place is freed.
  Awaitable<void> stopEngine(const Verdict &Ended) {
    Ready_.Connection_->close();
    if (Ended.Outcome_ == Outcome::NotRun)
      co_return;
    auto Cancelled = co_await cancelAt(Ready_.Server_.Address_, Context_.Id_);
    if (!Cancelled)
      logEvent(LogCategory::Request, spdlog::level::debug, "cancel-failed",
               {{"request", Context_.Id_.str()}});
  }

  ServedSample sample(bool Complete) const {
    ServedSample Seen;
    Seen.Reached_ = true;
    Seen.Complete_ = Complete;
    Seen.Generated_ = Tokens(static_cast<std::int64_t>(NextEvent_));
    Seen.FirstToken_ = FirstToken_;
    Seen.Duration_ =
        duration_cast<microseconds>(steady_clock::now() - Dispatched_);
    return Seen;
  }

  /// A broken stream must not look whole: it ends with an error event, without
  /// the last event, and its connection closes without the last chunk.
  Awaitable<void> answerBroken(Verdict Ended) {
    if (!Begun_)
      co_return co_await answerVerdict(Context_, std::move(Ended));
    if (!CallerLeft_) {
      ServerSentEvent Event;
      Event.Name_ = "error";
      Event.Data_ = errorBody(Ended);
      co_await Context_.Exchange_.writeChunk(formatEvent(Event));
    }
    Context_.Exchange_.abort();
    reportEnd(Context_, Ended.Outcome_, Ended.Code_);
  }

  Awaitable<void> answerWhole() {
    Context_.Services_.Connections_.giveBack(Ready_.Server_.Address_,
                                             std::move(Ready_.Connection_));
    if (Streaming_) {
      // A comment: clients of the OpenAI API pass over it.
      ServerSentEvent Last;
      Last.Data_ = LastEvent;
      co_await forward(": outcome=answered code=0\n\n" + formatEvent(Last));
      bool Sent = co_await Context_.Exchange_.endStream();
      reportEnd(Context_, Outcome::Answered,
                Sent ? ResultCode::Ok : ResultCode::CallerLeft);
      co_return;
    }
    HttpResponse Response = jsonResponse(200, wholeBody());
    addOutcomeFields(Response, Context_.Id_, Outcome::Answered, ResultCode::Ok);
    Response.Fields_["x-served-by"] = Context_.Services_.Vm_.str();
    Response.Fields_["x-backend-server"] = Ready_.Server_.Name_.str();
    co_await Context_.Exchange_.respond(std::move(Response));
    reportEnd(Context_, Outcome::Answered, ResultCode::Ok);
  }

  std::string wholeBody() const {
    Json Message;
    Message["role"] = "assistant";
    Message["content"] = Collected_;
    Json Choice;
    Choice["index"] = 0;
    Choice["message"] = std::move(Message);
    Choice["finish_reason"] = FinishReason_;
    Json Body;
    Body["id"] = Context_.Id_.str();
    Body["object"] = "chat.completion";
    Body["model"] = Model_;
    Body["choices"] = Json::array({std::move(Choice)});
    return Body.dump();
  }

  RequestContext &Context_;
  ReadyServer Ready_;
  TimePoint Dispatched_;
  microseconds FirstToken_{0};
  std::uint64_t NextEvent_ = 0;
  int IdleResumes_ = 0;
  std::size_t FirstTokenSpan_ = 0;
  bool Streaming_ = false;
  bool Begun_ = false;
  bool Whole_ = false;
  bool CallerLeft_ = false;
  bool Cancelled_ = false;
  std::string Collected_;
  std::string FinishReason_ = "stop";
  std::string Model_;
};

} // namespace

Awaitable<void> runModelCall(RequestContext &Context) {
  auto Call = std::make_shared<ModelCall>(Context);
  co_await Call->run();
  Context.Exchange_.onCallerLeft(nullptr);
}

} // namespace samphireshunt
