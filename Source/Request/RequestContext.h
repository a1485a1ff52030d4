#pragma once
/// \file
/// What lives as long as one request, and the services that it uses.

#include "Connection/BackendConnections.h"
#include "Process/Configuration/FreshnessLease.h"
#include "Process/Keeping/GrantClient.h"
#include "Request/ClaimStore.h"
#include "Request/FinalAnswer.h"
#include "Request/ForwardingDialect.h"
#include "Request/RepeatBudget.h"
#include "Request/RequestState.h"
#include "Request/Trace.h"
#include "Version/DocumentStore.h"

#include <functional>
#include <memory>

namespace samphireshunt {

/// What happened to a request, for metrics.
struct RequestReport {
  std::string Service_;
  std::string Tier_;
  Outcome Outcome_;
  ResultCode Code_;
  std::chrono::microseconds Total_{0};
  std::chrono::microseconds Waited_{0};
  /// Of a stream.
  std::optional<std::chrono::milliseconds> FirstEvent_;
  std::chrono::milliseconds LongestPause_{0};
};

/// Shared by the requests of one worker thread.
struct RequestServices {
  DocumentStore &Documents_;
  GrantClient &Grants_;
  ClaimStore &Claims_;
  BackendConnections &Connections_;
  VmId Vm_;
  Incarnation Incarnation_;
  /// True while the process that made a claim may still be running.
  std::function<bool(const VmId &, Incarnation)> IsProcessAlive_;
  std::function<void(const RequestReport &)> Report_;
  TraceSink Traces_;
  // For forwarded requests.
  const ForwardingDialect &Dialect_;
  const FreshnessLease &Freshness_;
  RepeatBudget &Repeats_;
  /// False for a request that a stop of this daemon would cut.
  std::function<bool(const ForwardingRule &)> HasTimeFor_;
  /// Daemons that are alive, this one included.
  std::function<std::size_t()> FleetSize_;
};

/// How a stream of events came: what its caller saw of the engine's pace.
struct StreamPace {
  std::optional<std::chrono::milliseconds> FirstEvent_; ///< From the start.
  std::chrono::milliseconds LongestPause_{0};
  std::size_t Events_ = 0;
  TimePoint Last_;

  void event(TimePoint Started, TimePoint Now);
};

/// One request from its head to its last byte. Used by one coroutine on one
/// worker; only State_ may be touched by others.
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
  /// Of a forwarded request.
  CallLabels Call_;
  /// How long ago its caller first tried, here or elsewhere; 0: just now.
  std::chrono::milliseconds SinceFirstAttempt_{0};
  std::string KeyDigest_;
  RequestState State_;
  Trace Trace_;
  std::chrono::microseconds Waited_{0};
  StreamPace Pace_;
  /// Servers that it was dispatched to, in their order.
  std::vector<ServerName> Servers_;

  /// Time until the deadline, at least a millisecond.
  std::chrono::milliseconds remaining() const;
  bool expired() const;
  const Document &document() const { return *Service_->Document_; }
};

/// A server that was granted, with a connection that is ready for the request.
struct ReadyServer {
  BackendServer Server_;
  std::unique_ptr<HttpConnection> Connection_;
};

/// Called between grant and connection; a failed verdict ends the request.
using BeforeConnect = std::function<Awaitable<std::optional<Verdict>>()>;

/// How to look for a server.
struct SeekOptions {
  /// Only a connection that answered this recently is used again; 0: none.
  std::chrono::milliseconds MaxIdle_{0};
  BeforeConnect Prepare_;
  /// A verdict ends the request just before its first byte would leave.
  std::function<std::optional<Verdict>()> BeforeDispatch_;
  std::vector<ServerName> Excluded_;
  /// The request was dispatched before, and may be again.
  bool Repeat_ = false;
};

/// Gets a grant and a connection; tries further servers while no byte has
/// left. On return the request is dispatched or given up, and the caller has
/// been asked for at most one grant at a time.
Awaitable<std::variant<ReadyServer, Verdict>>
obtainServer(RequestContext &Context, SeekOptions Options);

/// Removes the fields that concern one connection only, and the length, which
/// is set anew.
void removeHopFields(HttpFields &Fields);
/// A request without the fields that concern one connection or this program.
HttpRequest endToEndRequest(const HttpRequest &Request);
/// \returns a verdict when the newest configuration no longer allows the
/// caller's key, or when this daemon can't tell whether it is the newest.
std::optional<Verdict> checkCallerStillAllowed(const RequestContext &Context);

/// The request as it goes to the backend server: end-to-end fields only.
HttpRequest backendRequest(RequestContext &Context, std::size_t SpanNumber);

/// Serves a request of a model pool.
Awaitable<void> runModelCall(RequestContext &Context);
/// Serves a request of an application pool.
Awaitable<void> runApplicationCall(RequestContext &Context);
/// Writes the verdict as the final answer and reports it.
Awaitable<void> answerVerdict(RequestContext &Context, Verdict Ended);
/// Reports the end of a request to metrics and traces.
void reportEnd(RequestContext &Context, Outcome Value, ResultCode Code);

} // namespace samphireshunt
