#include "Request/FinalAnswer.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace samphireshunt {

namespace {

constexpr int StatusBadGateway = 502;

int usualStatus(ResultCode Code) {
  switch (Code) {
  case ResultCode::Ok:
    return 200;
  case ResultCode::HeaderTooLarge:
    return 431;
  case ResultCode::BodyTooLarge:
    return 413;
  case ResultCode::ReadTimeout:
    return 408;
  case ResultCode::UnknownCustomer:
    return 401;
  case ResultCode::TierNotAllowed:
    return 403;
  case ResultCode::NoRoute:
  case ResultCode::UnknownModel:
  case ResultCode::NotFound:
    return 404;
  case ResultCode::MethodNotAllowed:
    return 405;
  case ResultCode::IdempotencyKeyReused:
    return 422;
  case ResultCode::FirstAttemptRunning:
  case ResultCode::FirstAttemptUnknown:
  case ResultCode::VersionConflict:
    return 409;
  case ResultCode::CustomerCeiling:
  case ResultCode::AllotmentSpent:
  case ResultCode::QueueFull:
  case ResultCode::ShedForHigherTier:
    return 429;
  case ResultCode::AnswerTimeout:
    return 504;
  case ResultCode::ConnectionLost:
  case ResultCode::StreamBroken:
  case ResultCode::CrossedAnswer:
  case ResultCode::ServerError:
  case ResultCode::EventTooLarge:
  case ResultCode::AnswerTooLarge:
  case ResultCode::MalformedAnswer:
    return 502;
  case ResultCode::TooManyConnections:
    return 503;
  case ResultCode::CrashesServers:
  case ResultCode::PromptPartCrashesServers:
    // States that the request was not run. Without Retry-After, since a retry
    // would be refused too.
    return 503;
  case ResultCode::Internal:
    return 500;
  default:
    return static_cast<int>(Code) < 200 ? 400 : 503;
  }
}

} // namespace

bool promisesNotRun(int Status) {
  constexpr std::array Promises = {408, 421, 429, 503};
  return std::ranges::count(Promises, Status) > 0;
}

int httpStatus(const Verdict &Ended) {
  int Status = usualStatus(Ended.Code_);
  bool IsFalse = promisesNotRun(Status) && Ended.Outcome_ != Outcome::NotRun;
  return IsFalse ? StatusBadGateway : Status;
}

std::chrono::milliseconds defaultRetryAfter(ResultCode Code) {
  constexpr std::chrono::milliseconds AtAnotherDaemon{60};
  constexpr std::chrono::milliseconds AtAnotherServer{200};
  /// After a power loss all daemons start together, and are ready soon.
  constexpr std::chrono::milliseconds AfterStart{500};
  constexpr std::chrono::milliseconds DefaultDelay{1000};
  switch (Code) {
  case ResultCode::NotReady:
    return AfterStart;
  case ResultCode::Stopping:
  case ResultCode::ConfigurationStale:
  case ResultCode::KeeperUnreachable:
  case ResultCode::StreamOriginUnknown:
    return AtAnotherDaemon;
  case ResultCode::ConnectFailed:
  case ResultCode::NoBackendServer:
  case ResultCode::RefusedByServer:
    return AtAnotherServer;
  default:
    return DefaultDelay;
  }
}

Verdict::Verdict(ResultCode Code, std::string Detail)
    : Code_(Code), Detail_(std::move(Detail)),
      RetryAfter_(defaultRetryAfter(Code)) {}

bool isRetryable(const Verdict &Ended) {
  int Number = static_cast<int>(Ended.Code_);
  bool Overload =
      Number >= 200 && Number < 300 && Ended.Outcome_ == Outcome::NotRun;
  bool Claim = Ended.Code_ == ResultCode::ClaimFailed ||
               Ended.Code_ == ResultCode::FirstAttemptRunning ||
               Ended.Code_ == ResultCode::PlatformUnavailable;
  return Overload || Claim || Ended.Code_ == ResultCode::TooManyConnections ||
         Ended.Code_ == ResultCode::CancelledForHigherTier;
}

std::string errorBody(const Verdict &Ended) {
  const ResultCodeInfo &Info = describe(Ended.Code_);
  nlohmann::ordered_json Error;
  Error["code"] = static_cast<int>(Ended.Code_);
  Error["type"] = Info.Name_;
  Error["outcome"] = outcomeName(Ended.Outcome_);
  Error["message"] = Info.Meaning_;
  Error["advice"] = Info.Advice_;
  if (!Ended.Detail_.empty())
    Error["detail"] = Ended.Detail_;
  if (isRetryable(Ended))
    Error["retryAfterMs"] = Ended.RetryAfter_.count();
  nlohmann::ordered_json Body;
  Body["error"] = std::move(Error);
  constexpr auto Replace = nlohmann::json::error_handler_t::replace;
  return Body.dump(-1, ' ', false, Replace);
}

HttpResponse finalResponse(const RequestId &Id, const Verdict &Ended,
                           bool Fractional) {
  HttpResponse Response = jsonResponse(httpStatus(Ended), errorBody(Ended));
  addOutcomeFields(Response, Id, Ended.Outcome_, Ended.Code_);
  if (!isRetryable(Ended))
    return Response;
  std::chrono::duration<double> Exact = Ended.RetryAfter_;
  auto Seconds = std::chrono::ceil<std::chrono::seconds>(Ended.RetryAfter_);
  Response.Fields_["retry-after"] = Fractional
                                        ? fmt::format("{:.3f}", Exact.count())
                                        : std::to_string(Seconds.count());
  Response.Fields_["x-retry-after-ms"] =
      std::to_string(Ended.RetryAfter_.count());
  return Response;
}

void addOutcomeFields(HttpResponse &Response, const RequestId &Id,
                      Outcome Value, ResultCode Code) {
  Response.Fields_["x-request-id"] = Id.str();
  Response.Fields_["x-outcome"] = std::string(outcomeName(Value));
  Response.Fields_["x-result-code"] = std::to_string(static_cast<int>(Code));
}

} // namespace samphireshunt
