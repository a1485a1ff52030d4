#pragma once
/// \file
/// The numbered result codes and the four outcomes of a request. The table in
/// docs/RESULT_CODES.md is generated from these by `samphireshuntctl explain`.

#include <boost/system/result.hpp>

#include <span>
#include <stdexcept>
#include <string>
#include <string_view>

namespace samphireshunt {

/// What a final answer reports about the execution of the request.
enum class Outcome {
  Answered, ///< The complete answer of the backend server follows.
  NotRun,   ///< No backend server ran the request, and none will.
  Unknown,  ///< It may have run; no answer is available.
  Partial,  ///< It ran, and only a part of the answer was received.
};

/// \returns the outcome's name as callers see it, e.g. "not-run".
std::string_view outcomeName(Outcome Value);

/// Numbered results. Numbers are never reused; they are grouped by cause in
/// hundreds.
enum class ResultCode : int {
  Ok = 0,
  // 1xx: the request was not acceptable.
  MalformedRequest = 100,
  HeaderTooLarge = 101,
  BodyTooLarge = 102,
  ReadTimeout = 103,
  UnknownCustomer = 104,
  NoRoute = 105,
  TierNotAllowed = 106,
  UnknownModel = 107,
  IdempotencyKeyMissing = 108,
  IdempotencyKeyReused = 109,
  BadDeadline = 110,
  TooManyConnections = 111,
  MethodNotAllowed = 112,
  CrashesServers = 113,
  PromptPartCrashesServers = 114,
  // 2xx: ended before any dispatch.
  DeadlineInQueue = 200,
  ShedForHigherTier = 201,
  QueueFull = 202,
  CannotFinishInTime = 203,
  NoBackendServer = 204,
  CustomerCeiling = 205,
  ConnectFailed = 206,
  CallerLeft = 207,
  RefusedByServer = 208,
  NotReady = 209,
  KeeperUnreachable = 210,
  WaitTooLong = 211,
  AllotmentSpent = 212,
  ConfigurationStale = 213,
  Stopping = 214,
  NoPath = 215,
  StreamOriginUnknown = 216,
  DaemonMemoryFull = 217,
  // 3xx: after the dispatch.
  AnswerTimeout = 300,
  ConnectionLost = 301,
  StreamBroken = 302,
  CrossedAnswer = 303,
  CancelledForHigherTier = 304,
  ServerError = 305,
  BadServerLimit = 306,
  BadServerNotice = 307,
  EventTooLarge = 308,
  BadMemoryAnswer = 309,
  CallerReadsSlowly = 310,
  AnswerTooLarge = 311,
  MalformedAnswer = 312,
  // 4xx: idempotency keys and the platform's service.
  ClaimFailed = 400,
  FirstAttemptRunning = 401,
  FirstAttemptUnknown = 402,
  PlatformUnavailable = 403,
  VersionConflict = 404,
  NotFound = 405,
  HistoryLost = 406,
  StoreRestored = 407,
  BadStoreEra = 408,
  ValueTooLarge = 409,
  // 5xx: documents and settings.
  DocumentSyntax = 500,
  DocumentSchema = 501,
  DocumentReference = 502,
  DocumentDuplicate = 503,
  FormatTooNew = 504,
  BadSetting = 505,
  NotInForceEverywhere = 506,
  // 9xx: internal errors.
  Internal = 900,
};

/// One row of the table of codes.
struct ResultCodeInfo {
  ResultCode Code_;
  std::string_view Name_;
  std::string_view Meaning_;
  std::string_view Advice_;
};

/// \returns all rows, in ascending order of their codes.
std::span<const ResultCodeInfo> resultCodeTable();
/// \returns the row of \p Code, or that of Internal for an unknown code.
const ResultCodeInfo &describe(ResultCode Code);

/// An expected failure: its code and the details of this case.
struct Failure {
  ResultCode Code_ = ResultCode::Internal;
  std::string Detail_;
};

/// Thrown when code requests the value of a failed result.
class FailureError : public std::runtime_error {
public:
  explicit FailureError(const Failure &Cause);
  ResultCode code() const { return Code_; }

private:
  ResultCode Code_;
};

/// Called by boost::system::result when value() is called on a failure.
[[noreturn]] void throw_exception_from_error(const Failure &Cause,
                                             const boost::source_location &);

/// The result of a factory or an operation that may fail as expected.
template <class Value> using Result = boost::system::result<Value, Failure>;

} // namespace samphireshunt
