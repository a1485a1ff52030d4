#include "Request/ForwardedCall.h"

#include "Common/Log.h"
#include "Connection/EventSplitter.h"
#include "Request/AnswerWriter.h"
#include "Request/CrashEvidence.h"
#include "Request/HeldAnswer.h"
#include "Request/ResumedStream.h"
#include "Request/RunRecord.h"
#include "Request/RunSuspension.h"
#include "Request/ServerNotices.h"
#include "Request/SilenceWatch.h"
#include "Request/WaitPlan.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <exception>
#include <iterator>
#include <memory>
#include <utility>

namespace samphireshunt {

namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr int StatusMultipleChoices = 300;
constexpr int StatusInternalError = 500;
/// The server's own time limit, which is what the caller has left.
constexpr int StatusTimeLimit = 504;
/// Maximum idle time of a connection that is reused for a retryable request.
constexpr milliseconds RetryableMaxIdle{4000};
/// A request with less time left isn't retried, since no server could answer it
/// in time.
constexpr milliseconds MinTimeLeft{20};
/// The first server of a retryable request gets the remaining time divided by
/// this.
constexpr int FirstAttemptDivisor = 2;
/// A silence for the route's timeout divided by this may be a fault, also where
/// the objective is longer.
constexpr int FairTimeDivisor = 4;
/// Second answers to earlier calls that are passed over before the own one. A
/// server sends one of them now and then; one that sends more has lost count.
constexpr int MaxSecondAnswers = 4;
/// The longest of them: reading more costs more than another connection.
constexpr std::size_t MaxSecondAnswerBytes = 1024 * 1024;
/// Maximum number of servers that may refuse a request before it is given up.
constexpr int MaxRefusals = 3;

/// The result of one dispatch.
enum class AttemptEnd {
  Answered,  ///< The caller has the complete answer.
  NotRun,    ///< The server refused before running.
  Failed,    ///< It may have run, but there is no usable answer.
  Broken,    ///< The caller has received only the start of the answer.
  Suspended, ///< The run was stopped, and its memory is kept at the server.
  CallerLeft ///< The caller has disconnected.
};

/// The head of an answer, and what it says of the answer.
struct LabelledHead {
  HttpResponse Head_;
  AnswerLabels Labels_;
};

/// \returns whether a successful answer to a streaming route is a stream of
/// events: by its type, and without one unless it has a length.
bool isEventStream(const HttpResponse &Head) {
  auto Type = Head.Fields_.find("content-type");
  if (Type == Head.Fields_.end())
    return !Head.Fields_.contains("content-length");
  return lowerCase(Type->second).starts_with("text/event-stream");
}

/// One forwarded request, with all of its dispatches. Owned by its coroutine;
/// the hook for the caller's disconnect holds a weak pointer, since it may be
/// called after the request has ended.
class ForwardedCall : public std::enable_shared_from_this<ForwardedCall> {
public:
  explicit ForwardedCall(RequestContext &Context)
      : Context_(Context), Rule_(*Context.Route_->Forwarding_),
        Dialect_(Context.Services_.Dialect_),
        HeldAnswer_(Context.Services_.Memory_, MemoryOwner::Answers),
        HeldError_(Context.Services_.Memory_, MemoryOwner::Answers) {}

  Awaitable<void> run() {
    Executor_ = co_await boost::asio::this_coro::executor;
    Writer_ = AnswerWriter::create(Executor_, Context_.Exchange_,
                                   Context_.Services_.Memory_);
    std::exception_ptr Escaped;
    try {
      co_await forward();
    } catch (...) {
      Escaped = std::current_exception();
      if (Context_.Exchange_.begun())
        Context_.Exchange_.abort();
    }
    // The writer uses the exchange, which ends with this call.
    co_await Writer_->finished();
    if (Escaped)
      std::rethrow_exception(Escaped);
  }

private:
  Awaitable<void> forward() {
    if (resumesStream(Context_)) {
      if (auto Refused = co_await bindToOrigin(Context_))
        co_return co_await finish(std::move(*Refused));
    }
    auto Now = steady_clock::now();
    Context_.Services_.RetryBudget_.recordRequest(Context_.Pool_->Name_, Now);
    while (true) {
      ObtainOptions Options = obtainOptions();
      auto Obtained = co_await obtainServer(Context_, std::move(Options));
      if (auto *Refused = std::get_if<Verdict>(&Obtained)) {
        Verdict Ended = std::move(*Refused);
        co_return co_await finish(std::move(Ended));
      }
      Ready_ = std::move(std::get<ReadyServer>(Obtained));
      AttemptEnd Ended = co_await attempt();
      Silence_.reset();
      co_await reportAttempt(Ended);
      goOnWithBackup(Ended);
      if (Ended != AttemptEnd::Suspended) {
        releaseKept();
        releaseStopped();
      }
      if (Ended == AttemptEnd::Answered)
        Ended = co_await finishAnswer();
      if (Ended == AttemptEnd::Answered)
        co_return reportEnd(Context_, Outcome::Answered, ResultCode::Ok);
      if (Ended == AttemptEnd::CallerLeft || !mayRetry(Ended)) {
        Verdict Final = verdictAfter(Ended);
        co_return co_await finish(std::move(Final));
      }
      Context_.BrokeOff_ = steady_clock::now();
      if (Ended == AttemptEnd::Suspended)
        continue;
      logRetry(Ended);
    }
  }

  bool isStream() const { return Rule_.Kind_ == RequestKind::Stream; }

  ObtainOptions obtainOptions() {
    ObtainOptions Options;
    Options.MaxIdle_ = Rule_.retryable() ? RetryableMaxIdle : TrustedMaxIdle;
    if (Memory_)
      Options.OnlyServer_ = Memory_->Server_;
    else
      Options.Excluded_ = TriedServers_;
    Options.IsRetry_ = Runs_.sends() > 0;
    Options.BeforeDispatch_ = [this] { return recheckCaller(); };
    return Options;
  }

  /// Checks the caller's key again before the dispatch. While the request
  /// waited for its grant, the key may have been revoked, or the process may
  /// have been paused so long that its configuration may be out of date.
  std::optional<Verdict> recheckCaller() const {
    return recheckCallerKey(Context_);
  }

  Awaitable<AttemptEnd> attempt() {
    Runs_.sent();
    Suspension_.reset();
    HeldAnswer_.set(0);
    OwnShortage_ = false;
    Context_.Services_.Grants_.dispatched(Context_.Id_, nullptr, suspendHook());
    Dispatched_ = steady_clock::now();
    FirstEvent_ = TimePoint();
    WorkTimePercent_ = 0;
    Faulty_ = false;
    Replaced_ = false;
    Rejected_ = false;
    Context_.AnswerEnd_ = AnswerEnd();
    watchCaller();
    StopHook Hook(Context_, StopStage::Dispatched, [Weak = weak_from_this()] {
      if (auto Self = Weak.lock())
        Self->endAtStop();
    });
    HttpConnection &Connection = *Ready_.Connection_;
    KeptUnused_ = Dispatched_ - Connection.lastReceived();
    Connection.acceptUnframed();
    HttpRequest Request = forwardedRequest();
    if (Repeat_)
      Repeat_->sent();
    Repeat_.reset();
    auto Sent = co_await Connection.send(Request, Context_.remaining());
    if (!Sent)
      co_return failed(Sent.error());
    watchSilence();
    auto Own = co_await readOwnHead();
    endRead();
    if (!Own)
      co_return failed(readFailure(Own.error()));
    HttpResponse &Head = Own->Head_;
    const AnswerLabels &Labels = Own->Labels_;
    Context_.AnswerEnd_.KnownBy_ = Connection.bodyEnd();
    WorkTimePercent_ = Labels.WorkTimePercent_.value_or(0);
    Answerer By = answererOf(Labels, Context_.Call_, Ready_.Server_.Name_);
    if (By == Answerer::Intended)
      reportServerNotices(Context_, Ready_, Head);
    Replaced_ = By == Answerer::Other;
    // A server that is another one than expected says nothing of its load.
    Rejected_ = Labels.NotRun_ && !Labels.Misdirected_;
    if (Labels.NotRun_)
      co_return co_await refusedByServer(std::move(Head));
    bool Success = Head.Status_ < StatusMultipleChoices;
    if (Success && !Labels.HasProof_)
      co_return failed({ResultCode::CrossedAnswer, "answer without proof"});
    if (Success && Continues_)
      continued();
    if (isStream() && Success && isEventStream(Head))
      co_return co_await relayEvents(std::move(Head));
    co_return co_await relayAnswer(std::move(Head));
  }

  /// Reads the head of the answer to the dispatch, after any second answers to
  /// earlier calls of the connection. \returns CrossedAnswer for one that is
  /// neither.
  Awaitable<Result<LabelledHead>> readOwnHead() {
    HttpConnection &Connection = *Ready_.Connection_;
    TimePoint End = steady_clock::now() + headTimeout();
    for (int Passed = 0; true; ++Passed) {
      auto Head = co_await readAnswerHead(Context_, Connection, timeUntil(End));
      if (!Head)
        co_return Head.error();
      AnswerLabels Labels = Dialect_.ReadAnswer_(*Head);
      if (Labels.CallId_ == Context_.Call_.CallId_)
        co_return LabelledHead{std::move(*Head), std::move(Labels)};
      const std::string &Id = Labels.CallId_;
      noteOtherAnswer(Id);
      bool MayPass = Passed < MaxSecondAnswers &&
                     Connection.carried().isSecondAnswer(callKey(Id));
      if (!MayPass || !co_await passOver(End))
        co_return Failure{ResultCode::CrossedAnswer, Id};
    }
  }

  /// Reads the rest of an answer to another call. \returns whether its end is
  /// known.
  Awaitable<bool> passOver(TimePoint End) {
    HttpConnection &Connection = *Ready_.Connection_;
    if (Connection.bodyEnd() == BodyEnd::Close)
      co_return false;
    std::size_t Bytes = 0;
    // A read doesn't time out while the server sends all the time.
    while (Bytes <= MaxSecondAnswerBytes && steady_clock::now() < End) {
      auto Received = co_await Connection.readSome(timeUntil(End));
      if (!Received)
        co_return false;
      if (Received->empty())
        co_return true;
      Bytes += Received->size();
    }
    co_return false;
  }

  static milliseconds timeUntil(TimePoint End) {
    auto Left = duration_cast<milliseconds>(End - steady_clock::now());
    return std::max(Left, milliseconds(1));
  }

  /// \returns the hook for a keeper's wish to suspend the run. It is called on
  /// another thread.
  GrantClient::Suspended suspendHook() {
    if (!Context_.Services_.SuspendsStreams_ || !isStream() ||
        !Context_.Pool_->RunMemory_.Moves_)
      return {};
    return [Weak = weak_from_this(), Executor = Executor_,
            Send = Runs_.sends()](const ServerName &CopyTo) {
      boost::asio::post(Executor, [Weak, Send, CopyTo] {
        auto Self = Weak.lock();
        if (Self && Self->Runs_.sends() == Send)
          Self->suspend(CopyTo);
      });
    };
  }

  /// Orders the engine to stop the run, unless it can't go on later: the caller
  /// has nothing to go on from, or has left; the daemon stops; or the fleet may
  /// not send more requests a second time.
  void suspend(const ServerName &CopyTo) {
    auto Snapshot = Context_.Services_.Documents_.snapshot();
    const BackendServer *Target = Snapshot->activeServer(
        Context_.document().Service_, Context_.Pool_->Name_, CopyTo);
    bool Streaming = Ready_.Connection_ && HeadSent_ &&
                     FirstEvent_ != TimePoint() && Splitter_.lastId();
    bool MayStop = Target && Target->Name_ != Ready_.Server_.Name_ &&
                   Streaming && !Suspension_ && !CallerLeft_ &&
                   hasTimeToRepeat() && mayRepeat();
    if (!MayStop)
      return Context_.Services_.Grants_.notSuspended(Context_.Id_);
    milliseconds Patience =
        std::min(callerPatience(Rule_), Context_.remaining());
    Suspension_ = RunSuspension::create(
        Executor_, Dialect_.Memory_, Context_.Call_.CallId_,
        {Ready_.Server_.Address_, Target->Address_, Patience},
        [Weak = weak_from_this()] {
          if (auto Self = Weak.lock())
            Self->Context_.Services_.Grants_.notSuspended(Self->Context_.Id_);
        });
  }

  /// \returns whether the budget for repeated sends allows one more, and takes
  /// it.
  bool mayRepeat() {
    if (Repeat_)
      return true;
    auto Allowed = Context_.Services_.RetryBudget_.tryRetry(
        Context_.Pool_->Name_, steady_clock::now());
    if (Allowed)
      Repeat_.emplace(std::move(*Allowed));
    else
      logRefusedRepeat();
    return Repeat_.has_value();
  }

  /// \returns what the budget of repeats of the request's pool is based on.
  LogFields repeatFields() const {
    RetryAccount Account = Context_.Services_.RetryBudget_.account(
        Context_.Pool_->Name_, steady_clock::now());
    return {{"pool", Context_.Pool_->Name_.str()},
            {"window_requests", fmt::format("{}", Account.Requests_)},
            {"repeat_tokens", fmt::format("{:.1f}", Account.Tokens_)},
            {"repeats_reserved", fmt::format("{}", Account.Reserved_)},
            {"repeat_depth", fmt::format("{:.1f}", Account.Depth_)},
            {"daemons", fmt::format("{}", Account.Daemons_)}};
  }

  void logRefusedRepeat() const {
    constexpr std::uint32_t LinesPerSecond = 5;
    thread_local LogSampler Sampler(LinesPerSecond);
    auto Dropped = Sampler.admit(0, steady_clock::now());
    if (!Dropped)
      return;
    LogFields Fields = {{"request", Context_.Id_.str()},
                        {"call", Context_.Call_.CallId_},
                        {"dropped", std::to_string(*Dropped)}};
    std::ranges::copy(repeatFields(), std::back_inserter(Fields));
    logEvent(LogCategory::Request, spdlog::level::info, "repeat-refused",
             Fields);
  }

  /// Called when a stream has ended without its end. \returns true if that is
  /// because its run was stopped, and it can go on.
  Awaitable<bool> wasSuspended() {
    if (!Suspension_)
      co_return false;
    auto Order = Suspension_;
    auto Stopped = co_await Order->stoppedRun();
    if (!Stopped)
      co_return false;
    const BackendServer &Server = Ready_.Server_;
    Memory_ = MemoryLocation{Server.Name_, formatEndpoint(Server.Address_) +
                                               "/" + Stopped->Handle_};
    KeptHandle_ = std::move(Stopped->Handle_);
    KeptAt_ = Server.Address_;
    // The result if it does not go on.
    LastFailure_ = {ResultCode::StreamBroken, "suspended"};
    Suspension_.reset();
    logEvent(LogCategory::Request, spdlog::level::info, "stream-suspended",
             {{"request", Context_.Id_.str()},
              {"call", Context_.Call_.CallId_},
              {"server", Server.Name_.str()},
              {"generated", std::to_string(Stopped->Events_)},
              {"events", std::to_string(Splitter_.count())}});
    co_return true;
  }

  /// Called when a dispatch has failed. Takes note of the backup of its run, if
  /// there is one; the run is over where it was, since its connection is
  /// closed.
  void goOnWithBackup(AttemptEnd Ended) {
    bool Lost = Ended == AttemptEnd::Broken || Ended == AttemptEnd::Failed;
    bool InTime = Context_.remaining() > MinTimeLeft;
    // After a timeout the run may still be there.
    constexpr std::array RunLost = {ResultCode::ConnectionLost,
                                    ResultCode::StreamBroken,
                                    ResultCode::MalformedAnswer};
    if (!Lost || !InTime || !Ready_.Backup_ || Continues_ || CallerLeft_ ||
        std::ranges::count(RunLost, LastFailure_.Code_) == 0)
      return;
    const BackendServer &Backup = *Ready_.Backup_;
    Memory_ = MemoryLocation{Backup.Name_, formatEndpoint(Backup.Address_) +
                                               "/" + Context_.Call_.CallId_};
  }

  /// Called when a run goes on: the engine has taken the memory, so nothing is
  /// left to free.
  void continued() {
    bool Suspended = !KeptHandle_.empty();
    KeptHandle_.clear();
    logEvent(LogCategory::Request, spdlog::level::info,
             Suspended ? "stream-continued" : "run-continued",
             {{"request", Context_.Id_.str()},
              {"call", Context_.Call_.CallId_},
              {"server", Ready_.Server_.Name_.str()},
              {"events", std::to_string(Splitter_.count())}});
  }

  /// Frees the memory of a suspended run that does not go on.
  void releaseKept() {
    if (KeptHandle_.empty())
      return;
    releaseMemory(Executor_, Dialect_.Memory_, KeptAt_,
                  std::exchange(KeptHandle_, {}));
  }

  /// Frees what an order to stop the run may leave after the run has ended in
  /// another way.
  void releaseStopped() {
    if (!Suspension_)
      return;
    Suspension_->abandon();
    Suspension_.reset();
    Repeat_.reset();
  }

  HttpRequest forwardedRequest() {
    std::size_t SpanNumber = Context_.Trace_.begin("dispatch");
    Context_.Trace_.attribute(SpanNumber, "server", Ready_.Server_.Name_.str());
    if (Ready_.Relay_)
      Context_.Trace_.attribute(SpanNumber, "relay", Ready_.Relay_->str());
    HttpRequest Request = endToEndRequest(Context_);
    Request.Fields_["traceparent"] = Context_.Trace_.traceparent(SpanNumber);
    ForwardLabels Labels;
    Labels.Timeout_ = Context_.remaining();
    Labels.Server_ = Ready_.Server_.Name_;
    Continues_ = Memory_.has_value();
    Labels.MemoryFrom_ = std::exchange(Memory_, std::nullopt);
    if (Ready_.Backup_)
      Labels.BackupTo_ = Ready_.Backup_->Address_;
    if (Context_.Customer_)
      Labels.Customer_ = Context_.Customer_->Name_;
    Dialect_.WriteForward_(Request.Fields_, Labels);
    if (Splitter_.lastId())
      Request.Fields_["last-event-id"] = *Splitter_.lastId();
    return Request;
  }

  /// Timeout for the head of the answer. A server that hangs must leave time
  /// for another one if the request may be retried.
  milliseconds headTimeout() const {
    if (isStream())
      return eventTimeout();
    auto Left = Context_.remaining();
    bool Last = Runs_.sends() >= static_cast<int>(Rule_.MaxAttempts_);
    return Last || !Rule_.retryable() ? Left : Left / FirstAttemptDivisor;
  }

  /// Timeout for the next event of a stream.
  milliseconds eventTimeout() const {
    return std::min(Context_.remaining(), endAfterSilence(Rule_));
  }

  /// Begins to watch a server whose stream may go on at another one.
  void watchSilence() {
    bool Last = Runs_.sends() >= static_cast<int>(Rule_.MaxAttempts_);
    if (!isStream() || !Rule_.Resumable_ || Last)
      return;
    Silence_ = SilenceWatch::create(Executor_, resumeAfterSilence(Rule_),
                                    [this] { return leaveSilentServer(); });
    beginRead();
  }

  void beginRead() {
    if (Silence_)
      Silence_->beginRead();
  }

  void endRead() {
    if (Silence_)
      Silence_->endRead();
  }

  /// Leaves a silent server if the stream may go on at another one. The repeat
  /// is taken before that: a stream that left without one would be broken off
  /// at a server that may be sound.
  bool leaveSilentServer() {
    auto Since = std::max(Dispatched_, Ready_.Connection_->lastReceived());
    auto Silent = steady_clock::now() - Since;
    bool InTime =
        Silent < callerPatience(Rule_) && Context_.remaining() > MinTimeLeft;
    bool KnowsPlace = !HeadSent_ || Splitter_.lastId();
    if (Silent < resumeAfterSilence(Rule_) || !InTime || !KnowsPlace ||
        !couldGoOnElsewhere() || !hasTimeToRepeat() || !hasRepeat() ||
        !mayRepeat())
      return false;
    Ready_.Connection_->close();
    return true;
  }

  /// \returns whether mayRepeat() would allow one; takes nothing.
  bool hasRepeat() const {
    return Repeat_ || Context_.Services_.RetryBudget_.hasRetry(
                          Context_.Pool_->Name_, steady_clock::now());
  }

  /// \returns the cause of a read that failed.
  Failure readFailure(const Failure &Cause) const {
    if (Silence_ && Silence_->left())
      return {ResultCode::AnswerTimeout, "left after a silence"};
    return Cause;
  }

  /// \returns whether another server is listed that may go on with the stream.
  /// Without one, leaving a silent server would only break the stream off.
  bool couldGoOnElsewhere() const {
    if (!Context_.Origin_)
      return true;
    auto Newest = Context_.Services_.Documents_.snapshot();
    const ServiceConfiguration *Service =
        Newest->service(Context_.document().Service_);
    const Pool *Whole =
        Service ? Service->pool(Context_.Pool_->Name_) : nullptr;
    return Whole &&
           std::ranges::any_of(
               Whole->Servers_, [&](const BackendServer &Other) {
                 return Other.Version_ == Context_.Origin_->Version_ &&
                        Newest->isActive(Other) &&
                        Other.Name_ != Ready_.Server_.Name_ &&
                        std::ranges::count(TriedServers_, Other.Name_) == 0;
               });
  }

  /// Closes the server's connection when the caller disconnects, which makes
  /// the server stop. A request that must not be retried runs to its end
  /// instead: the effects of an interrupted run would be unknown.
  void watchCaller() {
    bool MayInterrupt = Rule_.retryable() || isStream();
    Context_.Exchange_.onCallerLeft([Weak = weak_from_this(), MayInterrupt] {
      if (auto Self = Weak.lock())
        Self->handleCallerLeft(MayInterrupt);
    });
  }

  void handleCallerLeft(bool MayInterrupt) {
    CallerLeft_ = true;
    if (!MayInterrupt || !Ready_.Connection_)
      return;
    Ready_.Connection_->close();
    Writer_->giveUp();
  }

  void endAtStop() {
    StopEnded_ = true;
    if (Ready_.Connection_)
      Ready_.Connection_->close();
  }

  /// \returns whether the stop of the daemon leaves the time.
  bool hasTimeToRepeat() const {
    return Context_.decideStop(StopStage::Repeat) == StopDecision::GoOn;
  }

  /// \returns whether the server has had so little time that its silence shows
  /// the caller's deadline rather than a fault.
  bool wasHurried() const {
    auto Fair = std::min(Rule_.Objective_, Rule_.Timeout_ / FairTimeDivisor);
    return steady_clock::now() - Dispatched_ < Fair;
  }

  AttemptEnd failed(Failure Cause) {
    Ready_.Connection_->close();
    if (Writer_->failed())
      return writeFailed();
    if (CallerLeft_)
      return AttemptEnd::CallerLeft;
    // A stream that ends after an order to stop its run is no fault.
    bool Hurried = Cause.Code_ == ResultCode::AnswerTimeout && wasHurried();
    Faulty_ = !Context_.expired() && !Suspension_ && !OwnShortage_ &&
              !StopEnded_ && !Hurried;
    LastFailure_ = std::move(Cause);
    if (StopEnded_)
      LastFailure_ = {ResultCode::AnswerTimeout, "the daemon stops"};
    return HeadSent_ ? AttemptEnd::Broken : AttemptEnd::Failed;
  }

  /// Counts and logs an answer that bears the id of another request.
  void noteOtherAnswer(const std::string &Id) {
    const CarriedCalls &Carried = Ready_.Connection_->carried();
    bool Known = Carried.contains(callKey(Id));
    ExchangeCounts &Counts = Context_.Services_.Servers_.exchanges();
    ++(Known ? Counts.SecondAnswers_ : Counts.UnknownAnswers_);
    logExchange("answer-of-another-request", ResultCode::CrossedAnswer,
                {{"answer_to", Id}, {"carried", Known ? "yes" : "no"}});
  }

  /// \returns whether the connection carried another call before.
  bool wasKept() const { return Ready_.Connection_->carried().size() > 1; }

  /// Counts and logs a refusal on a connection that was in use before: it may
  /// be a copy of an earlier one.
  void noteRefusal(const HttpResponse &Head) {
    if (!wasKept())
      return;
    ++Context_.Services_.Servers_.exchanges().RefusalsOnKept_;
    logExchange("refused-on-kept-connection", ResultCode::RefusedByServer,
                {{"status", std::to_string(Head.Status_)}});
  }

  void logExchange(const char *Event, ResultCode Kind, LogFields Seen) const {
    constexpr std::uint32_t LinesPerSecond = 5;
    thread_local LogSampler Sampler(LinesPerSecond);
    auto Dropped = Sampler.admit(static_cast<int>(Kind), steady_clock::now());
    if (!Dropped)
      return;
    auto Idle = duration_cast<milliseconds>(KeptUnused_);
    if (!wasKept())
      Idle = milliseconds(0);
    auto Waited =
        duration_cast<milliseconds>(steady_clock::now() - Dispatched_);
    LogFields Fields = {
        {"request", Context_.Id_.str()},
        {"call", Context_.Call_.CallId_},
        {"server", Ready_.Server_.Name_.str()},
        {"address", formatEndpoint(Ready_.Server_.Address_)},
        {"idle_ms", std::to_string(Idle.count())},
        {"sent_ms_ago", std::to_string(Waited.count())},
        {"calls_carried", std::to_string(Ready_.Connection_->carried().size())},
        {"dropped", std::to_string(*Dropped)}};
    std::ranges::move(Seen, std::back_inserter(Fields));
    logEvent(LogCategory::Request, spdlog::level::info, Event, Fields);
  }

  Awaitable<AttemptEnd> refusedByServer(HttpResponse Head) {
    noteRefusal(Head);
    Runs_.refused();
    Result<void> Whole = co_await readBody(Head);
    HeldAnswer_.set(0);
    if (Whole)
      releaseConnection(Context_, Ready_);
    else
      Ready_.Connection_->close();
    // A server that has no copy of the run doesn't change how the run was lost.
    if (!(Continues_ && Runs_.mayHaveRun()))
      LastFailure_ = {ResultCode::RefusedByServer,
                      fmt::format("status {}", Head.Status_)};
    co_return AttemptEnd::NotRun;
  }

  /// Reads the rest of an answer. \returns ConnectionLost, AnswerTooLarge or
  /// MalformedAnswer.
  Awaitable<Result<void>> readBody(HttpResponse &Answer) {
    AnswerTurn Turn(Context_.Services_.Memory_);
    while (true) {
      auto IsOver = [this] {
        return CallerLeft_ || StopEnded_ || Context_.expired();
      };
      while (Answer.Body_.size() > KernelBufferBytes && !Turn.mayReadOn() &&
             !IsOver())
        co_await pauseReading();
      auto Received =
          co_await Ready_.Connection_->readSome(Context_.remaining());
      bool Lost = !Received &&
                  Received.error().Code_ != ResultCode::AnswerTooLarge &&
                  Received.error().Code_ != ResultCode::MalformedAnswer;
      if (Lost)
        co_return Failure{ResultCode::ConnectionLost, "answer broke off"};
      if (!Received)
        co_return Received.error();
      if (Received->empty())
        co_return Result<void>();
      std::size_t Bytes = Answer.Body_.size() + Received->size();
      bool Held = Turn.grow(HeldAnswer_, Bytes);
      if (!Held)
        Held = co_await awaitRoom(Turn, HeldAnswer_, Bytes, IsOver);
      if (!Held)
        co_return answerTooLarge(Bytes);
      Answer.Body_ += *Received;
    }
  }

  Failure answerTooLarge(std::size_t Bytes) {
    OwnShortage_ = !Context_.Services_.Memory_.tooLargeAlone(Bytes);
    return {ResultCode::AnswerTooLarge, fmt::format("{} bytes", Bytes)};
  }

  Awaitable<void> pauseReading() {
    boost::asio::steady_timer Timer(Executor_, MemoryWaitStep);
    co_await Timer.async_wait(boost::asio::use_awaitable);
  }

  Awaitable<AttemptEnd> relayAnswer(HttpResponse Answer) {
    Result<void> Whole = co_await readBody(Answer);
    if (!Whole)
      co_return failed(Whole.error());
    // The caller would get it with a length, as if it were whole.
    if (Answer.Status_ < StatusMultipleChoices &&
        Ready_.Connection_->bodyEnd() == BodyEnd::Close && isShownCut(Answer))
      co_return failed({ResultCode::ConnectionLost, "ended within its body"});
    releaseConnection(Context_, Ready_);
    if (promisesNotRun(Answer.Status_)) {
      // The request may have run, but the caller would take this status for a
      // promise that it did not.
      LastFailure_ = {ResultCode::ServerError,
                      fmt::format("status {}", Answer.Status_)};
      co_return AttemptEnd::Failed;
    }
    if (HeadSent_) {
      LastFailure_ = {ResultCode::StreamBroken,
                      fmt::format("status {}", Answer.Status_)};
      co_return AttemptEnd::Broken;
    }
    if (Answer.Status_ >= StatusInternalError) {
      Faulty_ = Answer.Status_ != StatusTimeLimit || !wasHurried();
      LastFailure_ = {ResultCode::ServerError,
                      fmt::format("status {}", Answer.Status_)};
      HeldAnswer_.set(0);
      HeldError_.set(Answer.Body_.size());
      ServerErrorAnswer_ = std::move(Answer);
      co_return AttemptEnd::Failed;
    }
    WholeAnswer_ = std::move(Answer);
    co_return AttemptEnd::Answered;
  }

  /// Gives the caller what is left of the answer after the server has finished
  /// it, so that a caller that reads slowly holds no slot of the server.
  Awaitable<AttemptEnd> finishAnswer() {
    if (WholeAnswer_) {
      HttpResponse Answer = std::move(*WholeAnswer_);
      WholeAnswer_.reset();
      HeadSent_ = true;
      // The writer counts what waits for its caller only within a budget.
      if (Context_.Services_.Memory_.limit() > 0)
        HeldAnswer_.set(0);
      Dialect_.Fields_.removeHopFields(Answer.Fields_);
      co_await Writer_->respond(std::move(Answer));
      HeldAnswer_.set(0);
      co_return Writer_->readTooSlowly() ? writeFailed() : AttemptEnd::Answered;
    }
    bool Written = co_await Writer_->finished();
    if (Written)
      Written = co_await Context_.Exchange_.endStream();
    co_return Written ? AttemptEnd::Answered : writeFailed();
  }

  Awaitable<void> deliver(HttpResponse Answer) {
    Dialect_.Fields_.removeHopFields(Answer.Fields_);
    co_await Context_.Exchange_.respond(std::move(Answer));
  }

  /// Forwards events as they arrive, only complete ones: the beginning of an
  /// event is of no use to the caller, and another engine may continue after
  /// the last complete one.
  Awaitable<AttemptEnd> relayEvents(HttpResponse Head) {
    while (true) {
      beginRead();
      auto Received = co_await Ready_.Connection_->readSome(eventTimeout());
      endRead();
      bool Stopped = !Received && co_await wasSuspended();
      if (Stopped) {
        Ready_.Connection_->close();
        co_return CallerLeft_ ? AttemptEnd::CallerLeft : AttemptEnd::Suspended;
      }
      if (!Received)
        co_return failed(readFailure(Received.error()));
      if (Received->empty())
        break;
      auto Events = Splitter_.feed(*Received);
      if (!Events)
        co_return failed(Events.error());
      std::size_t Held = Splitter_.partialEvent().size();
      if (!HeldAnswer_.grow(Held))
        co_return failed(answerTooLarge(Held));
      // A read doesn't time out while the server sends all the time.
      if (Context_.expired(ReadyEventsTime))
        co_return failed({ResultCode::AnswerTimeout, "stream without end"});
      if (Events->empty())
        continue;
      Context_.StreamTiming_.event(Context_.Started_, steady_clock::now());
      if (FirstEvent_ == TimePoint())
        recordFirstEvent();
      bool Written = co_await writeEvents(Head, std::move(*Events));
      if (!Written)
        co_return writeFailed();
    }
    // The end of such a stream looks the same when its run was stopped.
    bool Stopped = Ready_.Connection_->bodyEnd() == BodyEnd::Close &&
                   co_await wasSuspended();
    if (Stopped) {
      Ready_.Connection_->close();
      co_return CallerLeft_ ? AttemptEnd::CallerLeft : AttemptEnd::Suspended;
    }
    std::optional<std::string> Rest = Splitter_.finish();
    Context_.AnswerEnd_.InsideEvent_ = !Rest;
    if (!Rest)
      co_return failed({ResultCode::StreamBroken, "ended within an event"});
    // Nothing shows that the server has finished such a stream rather than
    // crashed before its first event.
    if (FirstEvent_ == TimePoint() &&
        Ready_.Connection_->bodyEnd() == BodyEnd::Close)
      co_return failed({ResultCode::StreamBroken, "ended without an event"});
    releaseConnection(Context_, Ready_);
    bool Written = co_await writeEvents(Head, std::move(*Rest));
    co_return Written ? AttemptEnd::Answered : writeFailed();
  }

  void recordFirstEvent() {
    FirstEvent_ = steady_clock::now();
    // Nothing was read before it, so it does not tell the engine's speed.
    if (Continues_)
      return;
    auto Delay = duration_cast<microseconds>(FirstEvent_ - Dispatched_);
    Context_.Services_.Grants_.firstToken(Context_.Id_,
                                          {Delay, WorkTimePercent_});
  }

  /// Writes events to the caller. The head is sent with the first events, since
  /// until then another server may answer instead. A resumed stream keeps the
  /// head of its first server.
  Awaitable<bool> writeEvents(HttpResponse &Head, std::string Events) {
    if (!HeadSent_) {
      Dialect_.Fields_.removeHopFields(Head.Fields_);
      recordOrigin(Context_, Ready_.Server_);
      bool Written = co_await Context_.Exchange_.beginStream(std::move(Head));
      if (!Written)
        co_return false;
      HeadSent_ = true;
    }
    co_return co_await Writer_->write(std::move(Events));
  }

  AttemptEnd writeFailed() {
    CallerLeft_ = true;
    if (Writer_->readTooSlowly()) {
      LastFailure_ = {ResultCode::CallerReadsSlowly, "no memory for the rest"};
      logEvent(
          LogCategory::Request, spdlog::level::info, "caller-reads-slowly",
          {{"request", Context_.Id_.str()}, {"call", Context_.Call_.CallId_}});
    }
    if (Ready_.Connection_)
      Ready_.Connection_->close();
    return AttemptEnd::CallerLeft;
  }

  Awaitable<void> reportAttempt(AttemptEnd Ended) {
    ServedSample Sample;
    Sample.Reached_ = true;
    Sample.Complete_ = Ended == AttemptEnd::Answered;
    Sample.Faulty_ = Faulty_;
    Sample.Replaced_ = Replaced_;
    Sample.Rejected_ = Rejected_;
    Sample.Suspended_ = Ended == AttemptEnd::Suspended;
    // The first event told it already, and it is out of date by now.
    if (FirstEvent_ == TimePoint())
      Sample.WorkTimePercent_ = WorkTimePercent_;
    auto Now = steady_clock::now();
    Sample.Duration_ = duration_cast<microseconds>(Now - Dispatched_);
    if (FirstEvent_ != TimePoint() && !Continues_) {
      Sample.FirstToken_ =
          duration_cast<microseconds>(FirstEvent_ - Dispatched_);
      auto Events = static_cast<std::int64_t>(Splitter_.count());
      Sample.FirstEventTokens_ = Tokens(Context_.Pool_->TokensPerEvent_);
      Sample.Generated_ = Tokens(Events * Sample.FirstEventTokens_.count());
    }
    Context_.StreamTiming_.Events_ = Splitter_.count();
    if (Ended == AttemptEnd::Answered) {
      addFingerprint(Context_, Sample);
      addAnsweredParts(Context_, Sample);
      if (!Continues_)
        Context_.recordRun(Sample.Duration_);
    }
    if (Ended == AttemptEnd::Failed || Ended == AttemptEnd::Broken)
      co_await addCrashEvidence(Context_, Ready_.Server_, LastFailure_.Code_,
                                Sample);
    Context_.Services_.Grants_.done(Context_.Id_, Sample);
    if (Ended != AttemptEnd::Suspended)
      TriedServers_.push_back(Ready_.Server_.Name_);
    Splitter_.dropPartialEvent();
  }

  bool mayRetry(AttemptEnd Ended) {
    if (CallerLeft_ || StopEnded_ || Context_.remaining() <= MinTimeLeft)
      return false;
    if (Ended == AttemptEnd::Suspended)
      return true;
    if (Memory_)
      return mayRepeat();
    // Only its own run may go on with a request that may not be repeated.
    if (Runs_.mayHaveRun() && !Rule_.retryable())
      return false;
    if (HeadSent_ && !Rule_.Resumable_)
      return false;
    if (Ended == AttemptEnd::NotRun) {
      if (Runs_.refusals() > MaxRefusals)
        return false;
    } else if (!Rule_.retryable() || !canContinue(Ended) ||
               ++FailedSends_ >= static_cast<int>(Rule_.MaxAttempts_)) {
      return false;
    }
    return hasTimeToRepeat() && mayRepeat();
  }

  /// \returns true when the answer can be continued or restarted elsewhere. A
  /// stream that the caller has partly received needs the id of its last event.
  bool canContinue(AttemptEnd Ended) const {
    return Ended != AttemptEnd::Broken ||
           (Rule_.Resumable_ && Splitter_.lastId().has_value());
  }

  void logRetry(AttemptEnd Ended) const {
    LogFields Fields = {
        {"request", Context_.Id_.str()},
        {"call", Context_.Call_.CallId_},
        {"server", Ready_.Server_.Name_.str()},
        {"version", Ready_.Server_.Version_.str()},
        {"code", std::to_string(static_cast<int>(LastFailure_.Code_))},
        {"detail", LastFailure_.Detail_}};
    std::ranges::copy(repeatFields(), std::back_inserter(Fields));
    logEvent(LogCategory::Request, spdlog::level::info,
             Ended == AttemptEnd::Broken ? "resumed" : "repeated", Fields);
  }

  Verdict verdictAfter(AttemptEnd Ended) const {
    Verdict Result(LastFailure_.Code_, LastFailure_.Detail_);
    if (Ended == AttemptEnd::CallerLeft && !Writer_->readTooSlowly())
      Result.Code_ = ResultCode::CallerLeft;
    return Result;
  }

  /// Ends the request after its last attempt, when no other server is available
  /// or allowed.
  Awaitable<void> finish(Verdict Ended) {
    releaseKept();
    Repeat_.reset();
    if (HeadSent_) {
      // What came whole reaches the caller before the end that is missing.
      if (!CallerLeft_)
        co_await Writer_->finished();
      Context_.Exchange_.abort();
      co_return reportEnd(Context_, Outcome::Partial, Ended.Code_);
    }
    if (ServerErrorAnswer_ && !CallerLeft_) {
      co_await deliver(std::move(*ServerErrorAnswer_));
      co_return reportEnd(Context_, Outcome::Answered, LastFailure_.Code_);
    }
    if (Runs_.mayHaveRun()) {
      // "not-run" would be wrong here, so the code of the failed attempt is
      // reported.
      Ended.Outcome_ = Outcome::Unknown;
      if (Ended.Code_ != ResultCode::CallerLeft)
        Ended.Code_ = LastFailure_.Code_;
    }
    co_await answerVerdict(Context_, std::move(Ended));
  }

  RequestContext &Context_;
  const ForwardingRule &Rule_;
  const ForwardingDialect &Dialect_;
  ReadyServer Ready_;
  EventSplitter Splitter_;
  std::vector<ServerName> TriedServers_;
  std::optional<HttpResponse> ServerErrorAnswer_;
  boost::asio::any_io_executor Executor_;
  /// Of the current dispatch; null if its stream can't go on elsewhere.
  std::shared_ptr<SilenceWatch> Silence_;
  /// The order to stop the current run; null if there is none.
  std::shared_ptr<RunSuspension> Suspension_;
  /// The memory of a suspended run, until the run goes on.
  std::string KeptHandle_;
  Endpoint KeptAt_;
  /// Answered by the server, and not yet given to the caller.
  std::optional<HttpResponse> WholeAnswer_;
  /// The memory of an answer that is read whole before its caller gets it, or
  /// of an event that is incomplete.
  MemoryUse HeldAnswer_;
  /// The memory of ServerErrorAnswer_.
  MemoryUse HeldError_;
  std::shared_ptr<AnswerWriter> Writer_;
  /// Where the memory of the run is that the next dispatch goes on with.
  std::optional<MemoryLocation> Memory_;
  /// The repeat that was allowed and is not sent yet.
  std::optional<RetryReservation> Repeat_;
  Failure LastFailure_;
  /// As in AnswerLabels, of the last dispatch; 0 if unknown.
  std::uint32_t WorkTimePercent_ = 0;
  TimePoint Dispatched_;
  /// How long the connection had received nothing then, if it was kept.
  TimePoint::duration KeptUnused_{};
  TimePoint FirstEvent_;
  int FailedSends_ = 0; ///< Dispatches that may have run.
  RunRecord Runs_;
  bool HeadSent_ = false;
  /// The current dispatch goes on with the memory of the run.
  bool Continues_ = false;
  bool Faulty_ = false;
  /// The answer was given up because others hold this daemon's memory.
  bool OwnShortage_ = false;
  bool Replaced_ = false;
  bool Rejected_ = false;
  bool CallerLeft_ = false;
  /// The stop of the daemon ended the run.
  bool StopEnded_ = false;
};

} // namespace

Awaitable<void> runForwardedCall(RequestContext &Context) {
  auto Call = std::make_shared<ForwardedCall>(Context);
  co_await Call->run();
}

} // namespace samphireshunt
