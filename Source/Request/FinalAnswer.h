#pragma once
/// \file
/// Final answers that the daemon generates itself, with outcome and code.

#include "Common/Ids.h"
#include "Common/ResultCode.h"
#include "Connection/Http.h"

#include <chrono>
#include <optional>
#include <string>

namespace samphireshunt {

/// How a request ended without a complete answer from a backend server.
struct Verdict {
  Verdict() = default;
  /// Outcome NotRun, with the default retry delay of \p Code.
  explicit Verdict(ResultCode Code, std::string Detail = "");

  Outcome Outcome_ = Outcome::NotRun;
  ResultCode Code_ = ResultCode::Internal;
  std::string Detail_;
  std::chrono::milliseconds RetryAfter_{1000};
};

/// \returns whether a caller takes the status for a promise that its request
/// has not run and never will.
bool promisesNotRun(int Status);
/// \returns the HTTP status of a verdict. Only an outcome of NotRun has one
/// that promisesNotRun(), whatever its code is.
int httpStatus(const Verdict &Ended);
/// \returns how long a caller should wait before it retries, when nothing more
/// specific is known. Conditions of this daemon alone get a very short delay,
/// since another daemon can serve the retry.
std::chrono::milliseconds defaultRetryAfter(ResultCode Code);
/// \returns true when a later retry can succeed and runs nothing twice, so that
/// the answer carries Retry-After.
bool isRetryable(const Verdict &Ended);
/// \returns the JSON body of an error in the format of the OpenAI API, extended
/// by outcome and code.
std::string errorBody(const Verdict &Ended);
/// \returns the complete answer: status, header fields and body.
/// \param Fractional whether Retry-After may have a fraction of a second.
HttpResponse finalResponse(const RequestId &Id, const Verdict &Ended,
                           bool Fractional = false);
/// Adds the header fields that every final answer carries.
void addOutcomeFields(HttpResponse &Response, const RequestId &Id,
                      Outcome Value, ResultCode Code);

} // namespace samphireshunt
