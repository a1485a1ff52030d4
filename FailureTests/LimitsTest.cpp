/// \file
/// Limits of connections, time and load: each has a code, and harms nobody.

#include "FailureTests/Cluster.h"

#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace samphireshunt::tests;
using std::chrono::milliseconds;
namespace asio = boost::asio;

namespace {

std::string answerTo(const samphireshunt::Endpoint &Target,
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

TEST_CASE("a request that does not arrive whole in time is refused") {
  // Symptom: a daemon runs out of connections although few requests come.
  // Sequence: clients send half a request and then nothing.
  // Cause: a read with no limit of time.
  ClusterOptions Options;
  Options.DaemonFlags_ = {"--read_timeout_ms=300"};
  Cluster Fleet(Options);
  std::string Answer = answerTo(Fleet.callersAddress(1),
                                "POST /readings HTTP/1.1\r\nHost: t\r\n");
  CHECK(Answer.find("\"code\":103") != std::string::npos);
  CHECK(Fleet.run(Fleet.reading(1)).Correct_);
}

TEST_CASE("a connection above the limit is refused with a time to come back") {
  // Symptom: new callers hang while a crowd holds all connections.
  // Sequence: more connections than the limit; then some close.
  // Cause: connections above the limit were accepted and never answered.
  ClusterOptions Options;
  Options.DaemonFlags_ = {"--max_connections=4"};
  Cluster Fleet(Options);
  asio::io_context Context;
  std::vector<asio::ip::tcp::socket> Crowd;
  for (int Index = 0; Index < 4; ++Index) {
    Crowd.emplace_back(Context);
    Crowd.back().connect(Fleet.callersAddress(1));
  }
  CHECK(eventually([&] {
    std::string Answer = answerTo(Fleet.callersAddress(1), "");
    return Answer.find("\"code\":111") != std::string::npos &&
           Answer.find("etry-") != std::string::npos;
  }));
  Crowd.clear();
  CHECK(eventually(
      [&] { return Fleet.run(Fleet.reading(1)).Outcome_ == "answered"; }));
}

TEST_CASE("a refusal reaches a caller that is still sending") {
  // Symptom: a caller sees a reset instead of the reason.
  // Sequence: a body far above the limit; the refusal comes before its end.
  // Cause: closing with unread bytes resets the connection.
  Cluster Fleet;
  std::string Request = "POST /readings HTTP/1.1\r\nHost: test.example\r\n"
                        "Content-Length: 20000000\r\n\r\n" +
                        std::string(2000000, 'a');
  std::string Answer = answerTo(Fleet.callersAddress(1), Request);
  CHECK(Answer.find("\"code\":102") != std::string::npos);
}

TEST_CASE("what is given up is answered at once, with when to come back") {
  // Symptom: callers learn only at their deadline that nothing will come.
  // Sequence: the queue is full; no engine is active; the deadline can't do.
  // Cause: a request that could not be served was kept waiting all the same.
  ClusterOptions Options;
  Options.MaxInFlight_ = 1;
  Cluster Fleet(Options);
  Json Document = Fleet.document();
  Document["pools"][0]["maxWaiting"] = 2;
  REQUIRE(Fleet.apply(Document, {"--wait"}) == 0);
  // The keeper grants: it has done listening for what runs.
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
