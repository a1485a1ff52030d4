#include "Request/FinalAnswer.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace samphireshunt;

TEST_CASE("every code gives a complete answer with outcome, code and id") {
  for (const ResultCodeInfo &Row : resultCodeTable()) {
    Verdict Ended;
    Ended.Code_ = Row.Code_;
    Ended.Detail_ = "\xff not UTF-8"; // Details may contain a caller's bytes.
    Ended.RetryAfter_ = std::chrono::milliseconds(1200);
    HttpResponse Response = finalResponse({1, 2}, Ended);
    auto Body = nlohmann::json::parse(Response.Body_)["error"];
    CHECK(Body["code"] == static_cast<int>(Row.Code_));
    CHECK(Body["outcome"] == "not-run");
    CHECK(Response.Fields_["x-outcome"] == "not-run");
    CHECK(Response.Fields_["x-request-id"] == RequestId{1, 2}.str());
    bool Retryable = static_cast<int>(Row.Code_) / 100 == 2;
    if (Retryable)
      CHECK(Response.Fields_["retry-after"] == "2");
    if (Row.Code_ != ResultCode::Ok)
      CHECK(Response.Status_ >= 400);
  }
}

TEST_CASE("only what has not run is answered with a promise that it has not") {
  // Guards against a caller that sends a request again which has run.
  for (const ResultCodeInfo &Row : resultCodeTable())
    for (auto Known : {Outcome::Answered, Outcome::NotRun, Outcome::Unknown,
                       Outcome::Partial}) {
      CAPTURE(Row.Name_);
      Verdict Ended(Row.Code_);
      Ended.Outcome_ = Known;
      HttpResponse Response = finalResponse({1, 2}, Ended);
      CHECK_FALSE(
          (promisesNotRun(Response.Status_) && Known != Outcome::NotRun));
    }
  Verdict Left(ResultCode::CallerLeft);
  CHECK(httpStatus(Left) == 503);
  Left.Outcome_ = Outcome::Unknown;
  CHECK(httpStatus(Left) == 502);
  CHECK_FALSE(isRetryable(Left));
}

TEST_CASE("a caller that finds too many connections may come back") {
  // Guards against sound requests that are denied for what others do.
  HttpResponse Refused =
      finalResponse(RequestId(), Verdict(ResultCode::TooManyConnections, ""));
  CHECK(Refused.Status_ == 503);
  CHECK(Refused.Fields_.contains("retry-after"));
}
