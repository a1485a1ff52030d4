/// \file
/// A request to a model engine. The engine always streams its answer, even if
/// the caller wants a single one, so that progress and silence are noticed and
/// an interrupted stream can be resumed where it broke off.

#include "Common/JsonReader.h"
#include "Common/Log.h"
#include "Connection/EventSplitter.h"
#include "Connection/EventStream.h"
#include "Connection/MemoryBudget.h"
#include "Connection/Spawn.h"
#include "Request/CrashEvidence.h"
#include "Request/ServerNotices.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/this_coro.hpp>
#include <fmt/format.h>

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

/// A stream's connection is considered broken after this much silence.
constexpr milliseconds SilenceTimeout{1000};
constexpr milliseconds ResumeTimeout{1000};
/// Maximum number of consecutive resumes without a new event.
constexpr int MaxIdleResumes = 8;
constexpr std::string_view FinalEvent = "[DONE]";

/// Cancels a request at its engine. An engine that hasn't received the request
/// yet remembers the id and refuses it later. \returns the engine's answer.
Awaitable<Result<HttpResponse>> cancelAt(Endpoint Address, RequestId Id) {
  HttpRequest Request;
  Request.Method_ = "DELETE";
  Request.Target_ = "/v1/requests/" + Id.str();
  return httpCall(Address, std::move(Request), ResumeTimeout,
                  MaxControlAnswerBytes);
}

/// \returns the number in an event's id "<request>:<number>", or nothing when
/// the event doesn't belong to \p Id.
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

/// One request to a model engine. Owned by its coroutine alone; hooks hold weak
/// pointers, since the caller's disconnect and the keeper's cancellation may
/// both come after the request has ended.
class ModelCall : public std::enable_shared_from_this<ModelCall> {
public:
  explicit ModelCall(RequestContext &Context)
      : Context_(Context),
        HeldAnswer_(Context.Services_.Memory_, MemoryOwner::Answers) {}

  Awaitable<void> run() {
    Streaming_ = wantsStream();
    ObtainOptions Options;
    Options.MaxIdle_ = TrustedMaxIdle;
    auto Obtained = co_await obtainServer(Context_, std::move(Options));
    if (auto *Refused = std::get_if<Verdict>(&Obtained)) {
      Verdict Ended = std::move(*Refused);
      co_return co_await answerVerdict(Context_, std::move(Ended));
    }
    Ready_ = std::move(std::get<ReadyServer>(Obtained));
    Dispatched_ = steady_clock::now();
    co_await watchForCancellation();
    StopHook Hook(Context_, StopStage::Dispatched, [Weak = weak_from_this()] {
      if (auto Self = Weak.lock())
        Self->endAtStop();
    });
    std::optional<Verdict> Broken = co_await exchange();
    ServedSample Sample = sample(!Broken);
    if (!Broken) {
      addFingerprint(Context_, Sample);
      Context_.recordRun(Sample.Duration_);
    } else
      co_await addCrashEvidence(Context_, Ready_.Server_, Broken->Code_,
                                Sample);
    Context_.Services_.Grants_.done(Context_.Id_, Sample);
    if (Broken)
      co_await answerIncomplete(std::move(*Broken));
    else
      co_await answerComplete();
  }

private:
  bool wantsStream() const {
    Json Body = readJsonOrNull(Context_.Exchange_.request().Body_);
    return Body.is_object() && Body.value("stream", false);
  }

  /// Installs the hooks that end the pending read when the keeper revokes the
  /// engine for a higher tier or the caller disconnects.
  Awaitable<void> watchForCancellation() {
    auto Executor = co_await asio::this_coro::executor;
    auto Stop = [Weak = weak_from_this(), Executor] {
      asio::post(Executor, [Weak] {
        if (auto Self = Weak.lock())
          Self->cancel();
      });
    };
    Context_.Services_.Grants_.dispatched(Context_.Id_, std::move(Stop));
    Context_.Exchange_.onCallerLeft([Weak = weak_from_this()] {
      if (auto Self = Weak.lock())
        Self->callerLeft();
    });
  }

  void cancel() {
    Cancelled_ = true;
    closeConnection();
  }
  void endAtStop() {
    StopEnded_ = true;
    closeConnection();
  }
  void callerLeft() {
    CallerLeft_ = true;
    closeConnection();
  }
  /// Does nothing after a complete answer: the connection has been released for
  /// other requests then.
  void closeConnection() {
    if (Ready_.Connection_)
      Ready_.Connection_->close();
  }

  /// Sends the request and reads the answer to its end. \returns nothing when
  /// the answer is complete.
  Awaitable<std::optional<Verdict>> exchange() {
    std::size_t SpanNumber = Context_.Trace_.begin("dispatch");
    Context_.Trace_.attribute(SpanNumber, "server", Ready_.Server_.Name_.str());
    FirstTokenSpan_ = Context_.Trace_.begin("first-token");
    HttpRequest Request = backendRequest(Context_, SpanNumber);
    Json Body = readJsonOrNull(Request.Body_);
    Body["stream"] = true;
    Request.Body_ = Body.dump();
    auto Sent =
        co_await Ready_.Connection_->send(Request, Context_.remaining());
    Context_.Trace_.end(SpanNumber);
    std::optional<Verdict> Broken;
    bool Attached = Sent.has_value();
    if (Attached) {
      auto Head = co_await readAnswerHead(
          Context_, *Ready_.Connection_,
          std::min(SilenceTimeout, Context_.remaining()));
      Attached = Head.has_value();
      if (Attached)
        reportServerNotices(Context_, Ready_, *Head);
      if (Attached && Head->Status_ != 200)
        co_return co_await verdictOfStatus(std::move(*Head));
    }
    while (!AnswerComplete_ && !Broken) {
      if (Attached)
        Broken = co_await readEvents();
      if (AnswerComplete_ || Broken)
        break;
      Broken = reasonToStop();
      if (!Broken) {
        auto Resumed = co_await resume();
        if (Resumed)
          Broken = std::move(*Resumed);
        Attached = !Broken;
      }
    }
    if (Broken)
      co_await cancelAtEngine(*Broken);
    co_return Broken;
  }

  Awaitable<std::optional<Verdict>> verdictOfStatus(HttpResponse Head) {
    Verdict Ended;
    // The status proves that nothing ran only if the server is declared to
    // refuse before it runs anything: another server may send 503 in the middle
    // of a run.
    bool Refused = Ready_.Server_.RefusesBeforeRunning_ &&
                   (Head.Status_ == 503 || Head.Status_ == 429);
    Ended.Outcome_ = Refused ? Outcome::NotRun : Outcome::Unknown;
    Ended.Code_ =
        Refused ? ResultCode::RefusedByServer : ResultCode::ServerError;
    Ended.Detail_ = fmt::format("status {}", Head.Status_);
    Ready_.Connection_->close();
    co_return Ended;
  }

  /// Reads events until the connection breaks or the answer is complete.
  Awaitable<std::optional<Verdict>> readEvents() {
    EventStream Parser;
    while (!AnswerComplete_ && !StopEnded_) {
      auto Received = co_await Ready_.Connection_->readSome(
          std::min(SilenceTimeout, Context_.remaining()));
      if (!Received || Received->empty())
        co_return std::nullopt;
      for (ServerSentEvent &Event : Parser.feed(*Received)) {
        auto Broken = co_await handleEvent(std::move(Event));
        if (Broken || AnswerComplete_)
          co_return Broken;
      }
      if (auto TooLarge = holdAnswer(Parser.heldBytes()))
        co_return TooLarge;
      // A read doesn't time out while the engine sends all the time.
      if (Context_.expired(ReadyEventsTime))
        co_return std::nullopt;
    }
    co_return std::nullopt;
  }

  /// Counts what is held of the answer. \returns the end of the request if that
  /// is too much.
  std::optional<Verdict> holdAnswer(std::size_t EventBytes) {
    bool Fits = EventBytes <= EventSplitter::MaxEventBytes;
    if (Fits && HeldAnswer_.grow(EventBytes + Collected_.size()))
      return std::nullopt;
    Verdict Ended;
    Ended.Outcome_ = HeadSent_ ? Outcome::Partial : Outcome::Unknown;
    Ended.Code_ = Fits ? ResultCode::AnswerTooLarge : ResultCode::EventTooLarge;
    Ended.Detail_ = fmt::format("{} bytes", EventBytes + Collected_.size());
    return Ended;
  }

  /// Processes one event. An event of another request is an error; one that is
  /// not the next in sequence is skipped.
  Awaitable<std::optional<Verdict>> handleEvent(ServerSentEvent Event) {
    auto Number = eventNumber(Event, Context_.Id_);
    if (!Number) {
      Verdict Crossed;
      Crossed.Outcome_ = HeadSent_ ? Outcome::Partial : Outcome::Unknown;
      Crossed.Code_ = ResultCode::CrossedAnswer;
      co_return Crossed;
    }
    if (*Number != NextEvent_)
      co_return std::nullopt; // Sent again by the engine after a resume.
    ++NextEvent_;
    IdleResumes_ = 0;
    if (NextEvent_ == 1)
      recordFirstToken();
    if (Event.Data_ == FinalEvent) {
      AnswerComplete_ = true;
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

  void recordFirstToken() {
    FirstToken_ =
        duration_cast<microseconds>(steady_clock::now() - Dispatched_);
    Context_.Services_.Grants_.firstToken(Context_.Id_, {FirstToken_});
    Context_.Trace_.end(FirstTokenSpan_);
    Context_.Trace_.begin("stream");
  }

  /// Appends an event's text to the answer of a caller that wants no stream.
  void collect(const std::string &Data) {
    Json Chunk = readJsonOrNull(Data);
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
    if (!HeadSent_) {
      HttpResponse Head;
      Head.Fields_["content-type"] = "text/event-stream";
      Head.Fields_["cache-control"] = "no-store";
      Head.Fields_["x-request-id"] = Context_.Id_.str();
      Head.Fields_["x-served-by"] = Context_.Services_.Vm_.str();
      Head.Fields_["x-backend-server"] = Ready_.Server_.Name_.str();
      HeadSent_ = true;
      CallerLeft_ |= !co_await Context_.Exchange_.beginStream(std::move(Head));
    }
    if (!CallerLeft_)
      CallerLeft_ |= !co_await Context_.Exchange_.writeChunk(std::move(Text));
    if (CallerLeft_)
      closeConnection();
  }

  /// \returns the reason not to resume after the connection broke, if any.
  std::optional<Verdict> reasonToStop() const {
    Verdict Ended;
    Ended.Outcome_ = HeadSent_ ? Outcome::Partial : Outcome::Unknown;
    if (CallerLeft_)
      Ended.Code_ = ResultCode::CallerLeft;
    else if (Cancelled_)
      Ended.Code_ = ResultCode::CancelledForHigherTier;
    else if (StopEnded_ || Context_.expired())
      Ended.Code_ = ResultCode::AnswerTimeout;
    else if (IdleResumes_ >= MaxIdleResumes)
      Ended.Code_ = ResultCode::StreamBroken;
    else
      return std::nullopt;
    return Ended;
  }

  /// Requests the rest of the answer from the same engine on a new connection.
  /// A connection can break or go silent while the engine continues to work.
  /// This is not a second dispatch, since the engine doesn't run the request
  /// again.
  Awaitable<std::optional<Verdict>> resume() {
    ++IdleResumes_;
    Ready_.Connection_->close();
    ServerTarget Target = targetOf(Context_, Ready_.Server_);
    auto Connected = co_await Context_.Services_.Servers_.take(
        std::move(Target), milliseconds(0), callKeyOf(Context_));
    Verdict Broken;
    Broken.Outcome_ = HeadSent_ ? Outcome::Partial : Outcome::Unknown;
    Broken.Code_ =
        HeadSent_ ? ResultCode::StreamBroken : ResultCode::ConnectionLost;
    if (auto *Failed = std::get_if<LinkFailure>(&Connected)) {
      Broken.Detail_ = Failed->Detail_;
      co_return Broken;
    }
    auto &Link = std::get<ServerLink>(Connected);
    Ready_.Connection_ = std::move(Link.Connection_);
    Ready_.Relay_ = std::move(Link.Relay_);
    HttpRequest Request;
    Request.Target_ =
        fmt::format("/v1/requests/{}?from={}", Context_.Id_.str(), NextEvent_);
    auto Sent = co_await Ready_.Connection_->send(Request, ResumeTimeout);
    if (!Sent)
      co_return std::nullopt; // The next attempt opens another connection.
    auto Head =
        co_await readAnswerHead(Context_, *Ready_.Connection_, ResumeTimeout);
    if (!Head || Head->Status_ == 200)
      co_return std::nullopt;
    bool NeverReceived = Head->Status_ == 404 && NextEvent_ == 0;
    if (NeverReceived && co_await proveNotRun()) {
      Broken.Outcome_ = Outcome::NotRun;
      Broken.Code_ = ResultCode::RefusedByServer;
    }
    Broken.Detail_ = fmt::format("resume: status {}", Head->Status_);
    co_return Broken;
  }

  /// Checks whether the engine has not run the request and never will. An
  /// engine that doesn't know the request may still receive it from the broken
  /// connection. A cancellation makes it refuse the id from then on; only the
  /// engine's answer to it proves that nothing will run.
  Awaitable<bool> proveNotRun() {
    if (!Ready_.Server_.RefusesBeforeRunning_)
      co_return false;
    auto Response = co_await cancelAt(Ready_.Server_.Address_, Context_.Id_);
    if (!Response || Response->Status_ != 200)
      co_return false;
    Json Body = readJsonOrNull(Response->Body_);
    co_return Body.is_object() && Body.value("state", "") == "never-seen";
  }

  /// Cancels the request at the engine, which frees its slot: the rest of the
  /// answer isn't needed.
  Awaitable<void> cancelAtEngine(const Verdict &Ended) {
    Ready_.Connection_->close();
    if (Ended.Outcome_ == Outcome::NotRun)
      co_return;
    // The caller's answer has to leave before the process ends.
    if (StopEnded_)
      co_return cancelInBackground(co_await asio::this_coro::executor);
    auto Cancelled = co_await cancelAt(Ready_.Server_.Address_, Context_.Id_);
    if (!Cancelled)
      logEvent(LogCategory::Request, spdlog::level::debug, "cancel-failed",
               {{"request", Context_.Id_.str()}});
  }

  void cancelInBackground(const asio::any_io_executor &On) const {
    auto Cancel = [Address = Ready_.Server_.Address_,
                   Id = Context_.Id_]() -> Awaitable<void> {
      co_await cancelAt(Address, Id);
    };
    spawnLogged(On, "cancel-at-stop", std::move(Cancel));
  }

  ServedSample sample(bool Complete) const {
    ServedSample Sample;
    Sample.Reached_ = true;
    Sample.Complete_ = Complete;
    Sample.Generated_ = Tokens(static_cast<std::int64_t>(NextEvent_));
    Sample.FirstToken_ = FirstToken_;
    Sample.Duration_ =
        duration_cast<microseconds>(steady_clock::now() - Dispatched_);
    return Sample;
  }

  /// Ends the request without a complete answer. A broken stream must not look
  /// complete: it ends with an error event instead of the final event, and its
  /// connection closes without the last chunk.
  Awaitable<void> answerIncomplete(Verdict Ended) {
    if (!HeadSent_)
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

  Awaitable<void> answerComplete() {
    releaseConnection(Context_, Ready_);
    if (Streaming_) {
      // The outcome is sent as a comment, which clients of the OpenAI API
      // ignore.
      ServerSentEvent Last;
      Last.Data_ = FinalEvent;
      co_await forward(": outcome=answered code=0\n\n" + formatEvent(Last));
      bool Sent = co_await Context_.Exchange_.endStream();
      reportEnd(Context_, Outcome::Answered,
                Sent ? ResultCode::Ok : ResultCode::CallerLeft);
      co_return;
    }
    HttpResponse Response = jsonResponse(200, completionBody());
    addOutcomeFields(Response, Context_.Id_, Outcome::Answered, ResultCode::Ok);
    Response.Fields_["x-served-by"] = Context_.Services_.Vm_.str();
    Response.Fields_["x-backend-server"] = Ready_.Server_.Name_.str();
    co_await Context_.Exchange_.respond(std::move(Response));
    reportEnd(Context_, Outcome::Answered, ResultCode::Ok);
  }

  std::string completionBody() const {
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
  /// The memory of an incomplete event and of a collected answer.
  MemoryUse HeldAnswer_;
  TimePoint Dispatched_;
  microseconds FirstToken_{0};
  std::uint64_t NextEvent_ = 0;
  int IdleResumes_ = 0;
  std::size_t FirstTokenSpan_ = 0;
  bool Streaming_ = false;
  bool HeadSent_ = false;
  bool AnswerComplete_ = false;
  bool CallerLeft_ = false;
  bool StopEnded_ = false;
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
