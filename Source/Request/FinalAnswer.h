#pragma once
/// \file
/// Final answers that this program writes itself, with outcome and code.

#include "Common/Ids.h"
#include "Common/ResultCode.h"
#include "Connection/Http.h"

#include <chrono>
#include <optional>
#include <string>

namespace samphireshunt {

/// How a request ended without a whole answer of a backend server.
struct Verdict {
  Verdict() = default;
  /// Not run, with the code's usual time to come back.
  explicit Verdict(ResultCode Code, std::string Detail = "");

  Outcome Outcome_ = Outcome::NotRun;
  ResultCode Code_ = ResultCode::Internal;
  std::string Detail_;
  std::chrono::milliseconds RetryAfter_{1000};
};

/// The HTTP status that goes with a code.
int httpStatus(ResultCode Code);
/// How long a caller should wait when nothing more is known: for what is only
/// this daemon's matter hardly at all, since another one will answer.
std::chrono::milliseconds usualRetryAfter(ResultCode Code);
/// True when asking again later can help, so that Retry-After is given.
bool comesBack(const Verdict &Ended);
/// The body of an error, as in the OpenAI API, with outcome and code.
std::string errorBody(const Verdict &Ended);
/// The whole answer: status, header fields and body.
/// \p Fractional: Retry-After may have a fraction of a second.
HttpResponse finalResponse(const RequestId &Id, const Verdict &Ended,
                           bool Fractional = false);
/// Adds the fields that every final answer carries.
void addOutcomeFields(HttpResponse &Response, const RequestId &Id,
                      Outcome Value, ResultCode Code);

} // namespace samphireshunt
