#include "Programs/OutcomeReport.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <sstream>
#include <string>

using namespace samphireshunt;

namespace {

std::string endLine(const std::string &Clock, const std::string &Fields) {
  return fmt::format(
      R"({{"time":"2026-06-17T{}.200+00:00","level":"info","vm":"vm-1",)"
      R"("category":"request","event":"ended","request":"r-1",{}}})"
      "\n",
      Clock, Fields);
}

OutcomeReport reportOf(const std::string &Logs) {
  std::istringstream Stream(Logs);
  OutcomeReport Report;
  Report.read(Stream);
  return Report;
}

const std::string InTime =
    R"("outcome":"answered","code":"0","dropped":"0","route":"a","tier":"0","late":"no")";
const std::string Refused =
    R"("outcome":"not-run","code":"211","dropped":"7","route":"b","tier":"2")";

} // namespace

TEST_CASE("the counts add up to the total, including dropped lines") {
  auto LateFields = [](const std::string &Reason) {
    return R"("outcome":"answered","code":"0","dropped":"0","late":")" +
           Reason + "\"";
  };
  OutcomeReport Report =
      reportOf(endLine("08:29:05", InTime) + endLine("08:29:05", Refused) +
               endLine("08:29:06", LateFields("first")) +
               endLine("08:29:06", LateFields("pause")) +
               endLine("08:29:06", LateFields("attempt")) +
               endLine("08:29:07", R"("outcome":"partial","code":"302")") +
               endLine("08:29:07", R"("outcome":"unknown","code":"301")") +
               endLine("08:29:07", R"("outcome":"not-run","code":"207")"));
  CHECK(Report.total() == 15);
  CHECK(Report.leftOut() == 7);
  CHECK(Report.brokenLines() == 0);
  CHECK(Report.count(RequestFate::InTime) == 1);
  CHECK(Report.count(RequestFate::Refused) == 8);
  for (RequestFate Fate : {RequestFate::LateFirst, RequestFate::LatePause,
                           RequestFate::LateAttempt, RequestFate::Broken,
                           RequestFate::Failed, RequestFate::CallerLeft})
    CHECK(Report.count(Fate) == 1);
  auto Json = Report.json();
  std::uint64_t ByKind = 0;
  for (const auto &Row : Json["kinds"])
    ByKind += Row["requests"].get<std::uint64_t>();
  CHECK(ByKind == Report.total());
  CHECK(Json["moments"].size() == 3);
  CHECK(Json["moments"][0]["time"] == "08:29:05");
  CHECK(Report.text().find("211 wait-too-long") != std::string::npos);
}

TEST_CASE(
    "truncated lines and lines of other programs don't affect the counts") {
  std::string Complete = endLine("08:29:05", InTime);
  std::string Truncated = Complete.substr(0, Complete.size() / 2) + "\n";
  OutcomeReport Report = reportOf(
      "starting up {\n" + Complete + Truncated +
      R"({"time":"2026-06-17T08:29:05.200+00:00","event":"ended","outcome":7})"
      "\n" +
      R"({"time":"2026-06-17T08:29:05.200+00:00","event":"started")"
      "\n" +
      R"({"time":"x","event":"ended","outcome":"answered","code":"zero"})"
      "\n\n" +
      "edge-1 7.25 " + Complete);
  CHECK(Report.brokenLines() == 3);
  CHECK(Report.total() == 3);
  CHECK(Report.count(RequestFate::InTime) == 3);
}

TEST_CASE("the report's memory is bounded whatever the logs contain") {
  std::string Logs;
  for (int Index = 0; Index < 5000; ++Index)
    Logs += endLine(
        fmt::format("{:02}:{:02}:{:02}", Index / 3600, Index / 60 % 60,
                    Index % 60),
        fmt::format(R"("outcome":"answered","code":"0","route":"r{}")", Index));
  OutcomeReport Report = reportOf(Logs);
  CHECK(Report.total() == 5000);
  auto Json = Report.json();
  CHECK(Json["kinds"].size() <= 201);
  CHECK(Json["moments"].size() <= 600);
  std::uint64_t ByMoment = 0;
  for (const auto &Moment : Json["moments"])
    ByMoment += Moment.value("in-time", std::uint64_t(0));
  CHECK(ByMoment == 5000);
}
