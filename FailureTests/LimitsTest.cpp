/// \file
/// Limits on connections, time and load: each is reported with a result code
/// and does not affect other callers.

#include "FailureTests/Cluster.h"

#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace samphireshunt;
using namespace samphireshunt::tests;
using std::chrono::milliseconds;
namespace asio = boost::asio;

namespace {

std::string sendAndReadAnswer(const samphireshunt::Endpoint &Target,
                              const std::string &Bytes) {
  asio::io_context Context;
  asio::ip::tcp::socket Socket(Context);
  Socket.connect(Target);
  asio::write(Socket, asio::buffer(Bytes));
  std::string Answer;
  boost::system::error_code Error;
  asio::read_until(Socket, asio::dynamic_buffer(Answer), "}}", Error);
  return Answer;
}

} // namespace

TEST_CASE("a request that does not arrive completely in time is refused") {
  // Clients send half a request and then nothing. Without a read timeout a
  // daemon would run out of connections although it gets few requests.
  ClusterOptions Options;
  Options.DaemonFlags_ = {"--read_timeout_ms=300"};
  Cluster Fleet(Options);
  std::string Answer = sendAndReadAnswer(
      Fleet.callersAddress(1), "POST /readings HTTP/1.1\r\nHost: t\r\n");
  CHECK(Answer.find("\"code\":103") != std::string::npos);
  CHECK(Fleet.run(Fleet.reading(1)).Correct_);
}

TEST_CASE("a connection above the limit is refused with a retry delay") {
  // More connections than the limit are opened, then some close. If those above
  // the limit were accepted but never answered, new callers would hang while
  // others use all connections.
  ClusterOptions Options;
  Options.DaemonFlags_ = {"--max_connections=4"};
  Cluster Fleet(Options);
  asio::io_context Context;
  std::vector<asio::ip::tcp::socket> Connections;
  for (int Index = 0; Index < 4; ++Index) {
    Connections.emplace_back(Context);
    Connections.back().connect(Fleet.callersAddress(1));
  }
  CHECK(eventually([&] {
    std::string Answer = sendAndReadAnswer(Fleet.callersAddress(1), "");
    return Answer.find("\"code\":111") != std::string::npos &&
           Answer.find("etry-") != std::string::npos;
  }));
  Connections.clear();
  CHECK(eventually(
      [&] { return Fleet.run(Fleet.reading(1)).Outcome_ == "answered"; }));
}

TEST_CASE("a refusal reaches a caller that is still sending") {
  // The body is far above the limit and is refused before its end. Closing a
  // socket with unread bytes resets the connection, so the caller would see the
  // reset instead of the reason.
  Cluster Fleet;
  std::string Request = "POST /readings HTTP/1.1\r\nHost: test.example\r\n"
                        "Content-Length: 20000000\r\n\r\n" +
                        std::string(2000000, 'a');
  std::string Answer = sendAndReadAnswer(Fleet.callersAddress(1), Request);
  CHECK(Answer.find("\"code\":102") != std::string::npos);
}

TEST_CASE(
    "a request that cannot be served is refused at once with a retry delay") {
  // The queue is full, no engine is active, or the deadline cannot be met. If
  // such a request were queued anyway, its caller would learn only at its
  // deadline that there will be no answer.
  ClusterOptions Options;
  Options.MaxInFlight_ = 1;
  Cluster Fleet(Options);
  Json Document = Fleet.document();
  Document["pools"][0]["maxWaiting"] = 2;
  REQUIRE(Fleet.apply(Document, {"--wait"}) == 0);
  // The keeper issues grants: it has finished collecting what is running.
  REQUIRE(Fleet.run(Fleet.chat(1)).Correct_);
  std::vector<std::future<CallRecord>> Calls;
  for (int Index = 0; Index < 12; ++Index) {
    CallRequest Request = Fleet.chat(1 + Index % 3);
    Request.MaxTokens_ = 60;
    Calls.push_back(Fleet.start(std::move(Request)));
  }
  std::size_t Refused = 0;
  for (const CallRecord &Record : finish(Calls)) {
    INFO("code " << Record.Code_);
    if (Record.Code_ != 202)
      continue;
    ++Refused;
    CHECK(Record.HasRetryAfter_);
    CHECK(Record.Total_ < milliseconds(500));
  }
  CHECK(Refused == 8);
  for (Json &Server : Document["pools"][0]["servers"])
    Server["state"] = "leaving";
  REQUIRE(Fleet.apply(Document, {"--wait"}) == 0);
  CallRecord None = Fleet.run(Fleet.chat(1));
  CHECK(None.Code_ == 204);
  CHECK(None.HasRetryAfter_);
  CHECK(None.Total_ < milliseconds(1000));
  CHECK_MESSAGE(Fleet.violations().empty(), joined(Fleet.violations()));
}

TEST_CASE("engines that name a rate of requests get no more from all daemons") {
  // Guards against daemons that each keep to the rate, and against a new keeper
  // that does not know it.
  ClusterOptions Options;
  Options.Models_ = 3;
  Options.Applications_ = 3;
  Cluster Fleet(Options);
  for (const char *Name : {"model-1", "app-1"})
    Fleet.faults(Name, {{"limit", "2"}});
  // 1.5 times the rate in 4 s, and 5 more.
  constexpr std::ptrdiff_t MaxRuns = 17;
  auto RunsOf = [&](const std::string &Engine) {
    return std::ranges::count_if(
        Fleet.ledger(), [&](const standins::LedgerLine &Line) {
          return Line.Engine_ == Engine && Line.Event_ == "received";
        });
  };
  auto Begin = std::chrono::steady_clock::now();
  int Keeper = Fleet.keeperOf("applications");
  for (int Number = 0; Number < 60; ++Number) {
    if (Number == 30)
      Fleet.process("vm-" + std::to_string(Keeper)).kill();
    int Daemon = 1 + Number % 3;
    if (Number >= 30 && Daemon == Keeper)
      continue;
    Fleet.run(Fleet.reading(Daemon));
    Fleet.run(Fleet.chat(Daemon));
  }
  auto Took = std::chrono::steady_clock::now() - Begin;
  auto Windows = 1 + Took / std::chrono::seconds(4);
  CHECK(RunsOf("model-1") <= MaxRuns * Windows);
  CHECK(RunsOf("app-1") <= MaxRuns * Windows);
  CHECK(RunsOf("app-1") >= 1);
}
