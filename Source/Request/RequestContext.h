#pragma once
/// \file
/// State with the lifetime of one request, and the services that it uses.

#include "Common/RequestFingerprint.h"
#include "Connection/MemoryBudget.h"
#include "Process/Configuration/FreshnessLease.h"
#include "Process/Keeping/CrashTracker.h"
#include "Process/Keeping/GrantClient.h"
#include "Process/Relay/ServerConnector.h"
#include "Process/Streams/StreamOriginService.h"
#include "Request/ClaimStore.h"
#include "Request/FinalAnswer.h"
#include "Request/ForwardingDialect.h"
#include "Request/RequestState.h"
#include "Request/RetryBudget.h"
#include "Request/RunLengths.h"
#include "Request/StopPolicy.h"
#include "Request/Trace.h"
#include "Version/DocumentStore.h"

#include <functional>
#include <memory>
#include <utility>

namespace samphireshunt {

/// How the end of a server's answer is known.
struct AnswerEnd {
  /// Unset without an answer.
  std::optional<BodyEnd> KnownBy_;
  /// A stream ended within an event.
  bool InsideEvent_ = false;
};

/// A server that a request was dispatched to.
struct DispatchedServer {
  ServerName Name_;
  SoftwareVersion Version_;
};

/// The result of a request, for metrics.
struct RequestReport {
  std::string Service_;
  std::string Tier_;
  Outcome Outcome_;
  ResultCode Code_;
  std::chrono::microseconds Total_{0};
  std::chrono::microseconds Waited_{0};
  /// Delay of a stream's first event; unset for plain answers.
  std::optional<std::chrono::milliseconds> FirstEvent_;
  std::chrono::milliseconds LongestPause_{0};
  AnswerEnd AnswerEnd_;
  /// Set if the caller took a stream up again.
  std::optional<OriginSource> OriginSource_;
};

/// Shared by the requests of one worker thread.
struct RequestServices {
  DocumentStore &Documents_;
  GrantClient &Grants_;
  ClaimStore &Claims_;
  ServerConnector &Servers_;
  /// Only snapshot() is called here.
  const CrashTracker &Crashes_;
  VmId Vm_;
  Incarnation Incarnation_;
  /// True while the process that made a claim may still be running.
  std::function<bool(const VmId &, Incarnation)> IsProcessAlive_;
  std::function<void(const RequestReport &)> Report_;
  TraceSink Traces_;
  // Used for forwarded requests only.
  const ForwardingDialect &Dialect_;
  const FreshnessLease &Freshness_;
  RetryBudget &RetryBudget_;
  /// \returns nothing while the daemon does not stop.
  std::function<std::optional<CurrentStop>()> Stop_;
  StreamOriginService &Origins_;
  MemoryBudget &Memory_;
  /// Keepers may ask to suspend streams.
  bool SuspendsStreams_ = true;
  RunLengths RunLengths_;
};

/// For how long after the deadline events that are ready are still passed on.
inline constexpr std::chrono::milliseconds ReadyEventsTime{250};

/// Timing of a stream's events as its caller sees them.
struct StreamTiming {
  std::optional<std::chrono::milliseconds> FirstEvent_; ///< Since the start.
  std::chrono::milliseconds LongestPause_{0};
  std::size_t Events_ = 0;
  TimePoint Last_;

  /// Records an event at \p Now of a request that started at \p Started.
  void event(TimePoint Started, TimePoint Now);
};

/// One request, from the parsed head to the last byte of the answer. Used by
/// one coroutine on one worker; only State_ may be accessed by other threads.
struct RequestContext {
  RequestServices &Services_;
  HttpExchange &Exchange_;
  RequestId Id_;
  std::shared_ptr<const ConfigurationSnapshot> Snapshot_;
  const ServiceConfiguration *Service_ = nullptr;
  const Customer *Customer_ = nullptr;
  const Pool *Pool_ = nullptr;
  const Route *Route_ = nullptr;
  TierIndex Tier_;
  TimePoint Started_;
  TimePoint Deadline_;
  Tokens PromptTokens_;
  Tokens AnswerTokens_;
  std::vector<std::uint64_t> Prefix_;
  /// Metadata of a forwarded request.
  CallLabels Call_;
  /// Time since the caller's first attempt, at this daemon or another one; 0
  /// when this is the first attempt.
  std::chrono::milliseconds SinceFirstAttempt_{0};
  std::string KeyDigest_;
  RequestState State_;
  Trace Trace_;
  std::chrono::microseconds Waited_{0};
  StreamTiming StreamTiming_;
  /// Of the last dispatch of a forwarded request.
  AnswerEnd AnswerEnd_;
  /// Servers that the request was dispatched to, in order.
  std::vector<DispatchedServer> Servers_;
  /// The daemon that relays the last dispatch; unset if it is direct.
  std::optional<VmId> Relay_;

  /// Set once the caller has events of a stream, from this answer or an earlier
  /// one.
  std::optional<StreamOrigin> Origin_;
  /// How that is known; set if the caller takes a stream up again.
  std::optional<OriginSource> OriginSource_;
  /// When the stream had to look for another server to go on.
  TimePoint BrokeOff_;

  /// What the request does now, and how the stop of the daemon ends that. Set
  /// by StopHook.
  StopStage Stage_ = StopStage::Arrived;
  std::function<void()> OnStop_;

  /// Computed by the first call of fingerprint().
  RequestFingerprint Fingerprint_;

  /// \returns what identifies the request under whatever id it comes.
  const RequestFingerprint &fingerprint();
  /// \returns the time until the deadline, at least one millisecond.
  std::chrono::milliseconds remaining() const;
  /// \returns whether the deadline was \p Since ago or earlier.
  bool
  expired(std::chrono::milliseconds Since = std::chrono::milliseconds(0)) const;
  const Document &document() const { return *Service_->Document_; }
  /// \returns what the stop of the daemon means for the request at \p Stage.
  StopDecision decideStop(StopStage Stage) const;
  /// Records how long a run took that gave a whole answer.
  void recordRun(std::chrono::microseconds Length);
};

/// Names what a request does during its lifetime, and how the stop of the
/// daemon ends that. The hook is called again while it has no effect.
class StopHook {
public:
  StopHook(RequestContext &Context, StopStage Stage,
           std::function<void()> OnStop)
      : Context_(Context), Stage_(std::exchange(Context.Stage_, Stage)),
        OnStop_(std::exchange(Context.OnStop_, std::move(OnStop))) {}
  ~StopHook() {
    Context_.Stage_ = Stage_;
    Context_.OnStop_ = std::move(OnStop_);
  }
  StopHook(const StopHook &) = delete;
  StopHook &operator=(const StopHook &) = delete;

private:
  RequestContext &Context_;
  StopStage Stage_;
  std::function<void()> OnStop_;
};

/// A granted server with a connection that is ready to send the request.
struct ReadyServer {
  BackendServer Server_;
  std::unique_ptr<HttpConnection> Connection_;
  /// The daemon that relays the connection; unset if it is direct.
  std::optional<VmId> Relay_;
  /// The server names the rate of requests that it accepts.
  bool Limited_ = false;
  /// The server to which the run's memory is to be backed up; unset: none.
  std::optional<BackendServer> Backup_;
};

/// \returns the server of a request's pool as connections address it.
ServerTarget targetOf(const RequestContext &Context,
                      const BackendServer &Server);
/// \returns what tells the answers to the request from those to others.
CallKey callKeyOf(const RequestContext &Context);
/// Keeps the connection for further requests.
void releaseConnection(RequestContext &Context, ReadyServer &Used);

/// Called between grant and connection. A returned verdict ends the request.
using BeforeConnect = std::function<Awaitable<std::optional<Verdict>>()>;

/// Options for obtainServer().
struct ObtainOptions {
  /// An idle connection is reused only if its last answer is no older than
  /// this; 0 disables reuse.
  std::chrono::milliseconds MaxIdle_{0};
  BeforeConnect Prepare_;
  /// Called just before the first byte is sent. A returned verdict ends the
  /// request.
  std::function<std::optional<Verdict>()> BeforeDispatch_;
  std::vector<ServerName> Excluded_;
  /// The only server that may run the request, which goes on with a run whose
  /// memory is there; empty: any.
  ServerName OnlyServer_;
  /// The request was dispatched before and may be dispatched again.
  bool IsRetry_ = false;
};

/// Obtains a grant and a connection. Tries further servers as long as no byte
/// was sent. On return the request is either dispatched or given up; at no time
/// is more than one grant requested for it.
Awaitable<std::variant<ReadyServer, Verdict>>
obtainServer(RequestContext &Context, ObtainOptions Options);

/// \returns a copy of the caller's request without the fields of its connection
/// and without the caller's key.
HttpRequest endToEndRequest(const RequestContext &Context);
/// Reads the head of an answer as HttpConnection::readHead() does.
/// \returns MalformedAnswer also for fields that contradict each other.
Awaitable<Result<HttpResponse>>
readAnswerHead(const RequestContext &Context, HttpConnection &Connection,
               std::chrono::milliseconds Timeout);
/// Checks the caller's key again. \returns a verdict when the newest
/// configuration no longer has the key, or when the daemon's configuration may
/// be out of date.
std::optional<Verdict> recheckCallerKey(const RequestContext &Context);

/// \returns a verdict if nothing more is to be sent for the request at \p Stage
/// because the daemon stops.
std::optional<Verdict> checkStop(const RequestContext &Context,
                                 StopStage Stage);

/// \returns the request for the backend server: the end-to-end fields, and the
/// request's id, customer and trace.
HttpRequest backendRequest(RequestContext &Context, std::size_t SpanNumber);

/// \returns a verdict if servers crashed each time that they ran the request.
std::optional<Verdict> checkCrashes(RequestContext &Context);

/// Serves a request of a model pool.
Awaitable<void> runModelCall(RequestContext &Context);
/// Serves a request of an application pool.
Awaitable<void> runApplicationCall(RequestContext &Context);
/// Sends the verdict as the final answer and reports the request's end.
Awaitable<void> answerVerdict(RequestContext &Context, Verdict Ended);
/// Reports the end of a request to the log, metrics and traces.
void reportEnd(RequestContext &Context, Outcome Value, ResultCode Code);

} // namespace samphireshunt
