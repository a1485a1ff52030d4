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

TEST_CASE("a caller that finds too many connections may come back") {
  // Guards against sound requests that are denied for what others do.
  HttpResponse Refused =
      finalResponse(RequestId(), Verdict(ResultCode::TooManyConnections, ""));
  CHECK(Refused.Status_ == 503);
  CHECK(Refused.Fields_.contains("retry-after"));
}
