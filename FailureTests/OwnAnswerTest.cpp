/// \file
/// Guarantee: a caller gets the complete answer to its own request and never an
/// answer to another one, even if answers are delayed or swapped.

#include "FailureTests/Cluster.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace samphireshunt::tests;
using std::chrono::milliseconds;

TEST_CASE("an answer that comes after the deadline reaches no other request") {
  // A request is given up at its deadline before its answer arrives. If its
  // connection to the engine were reused while that answer is still pending,
  // the next request on it would read the answer to the earlier one.
  Cluster Fleet;
  Fleet.faults("app-1", {{"lateMs", 300}});
  CallRequest Delayed = Fleet.reading(1);
  Delayed.Timeout_ = milliseconds(100);
  CallRecord First = Fleet.run(std::move(Delayed));
  CHECK(First.Outcome_ == "unknown");
  CHECK(First.Code_ == 300);
  CHECK(First.Total_ < milliseconds(300));
  Fleet.faults("app-1", Json::object());
  for (int Index = 0; Index < 5; ++Index)
    CHECK(Fleet.run(Fleet.reading(1)).Correct_);
  CHECK_MESSAGE(Fleet.violations().empty(), joined(Fleet.violations()));
}

TEST_CASE("an answer that is cut off is not passed on as complete") {
  // The connection to the engine closes in the middle of the body. If the end
  // of the connection were treated as the end of the body, the caller would
  // take a partial answer for the complete one.
  Cluster Fleet;
  Fleet.faults("app-1", {{"cut", 1}});
  CallRecord Record = Fleet.run(Fleet.reading(1));
  CHECK(Record.Outcome_ == "unknown");
  CHECK(Record.Code_ == 301);
  CHECK_MESSAGE(Fleet.violations().empty(), joined(Fleet.violations()));
}

TEST_CASE("an answer without a length is passed on if its end is known") {
  // Guards against valid answers that are lost, and against beginnings that are
  // taken for answers, where an engine names no length and ends its connection
  // normally.
  Cluster Fleet;
  Fleet.faults("app-1", {{"unframed", 1}});
  CHECK(Fleet.run(Fleet.reading(1)).Correct_);
  Fleet.faults("app-1", {{"unframed", 1}, {"cut", 1}});
  CallRecord Record = Fleet.run(Fleet.reading(1));
  CHECK(Record.Outcome_ == "unknown");
  CHECK(Record.Code_ == 301);
  for (int Cut : {0, 1}) {
    for (const char *Name : {"model-1", "model-2"})
      Fleet.faults(Name, {{"unframed", 1}, {"cut", Cut}});
    CHECK(Fleet.run(Fleet.stream(1)).Correct_);
    CHECK(Fleet.run(Fleet.chat(2)).Correct_);
  }
  CHECK_MESSAGE(Fleet.violations().empty(), joined(Fleet.violations()));
}

TEST_CASE("a stream that is cut or goes silent is resumed at its engine") {
  // A middlebox between daemon and engine lost the state of the connection.
  // After two events it closes, or stays open without any further bytes, while
  // the engine continues. Without a resume, the stream would break off or stall
  // until the deadline.
  Cluster Fleet;
  for (const char *Fault : {"cut", "silent"}) {
    Fleet.faults("model-1", {{Fault, 1}});
    Fleet.faults("model-2", {{Fault, 1}});
    CHECK(Fleet.run(Fleet.stream(1)).Correct_);
    CHECK(Fleet.run(Fleet.chat(2)).Correct_);
    CHECK(Fleet.run(Fleet.stream(3)).Correct_);
  }
  CHECK_MESSAGE(Fleet.violations().empty(), joined(Fleet.violations()));
}

TEST_CASE("a stream that can't be resumed does not look whole") {
  // The connection closes in the middle of an answer that the engine cannot
  // resume. If the daemon ended the caller's stream like a complete answer, the
  // caller would take the partial answer for the complete one.
  Cluster Fleet;
  for (const char *Name : {"model-1", "model-2"})
    Fleet.faults(Name, {{"cut", 1}, {"noResume", true}});
  CallRequest Request = Fleet.stream(1);
  Request.MaxTokens_ = 200;
  CallRecord Record = Fleet.run(std::move(Request));
  CHECK(Record.Outcome_ == "partial");
  CHECK(Record.Code_ == 302);
  CHECK_FALSE(Record.Complete_);
  CHECK_MESSAGE(Fleet.violations().empty(), joined(Fleet.violations()));
}

TEST_CASE("an answer or event of another request is not passed on") {
  // The engine swaps the answers to two of its requests. If daemons matched
  // answers to requests only by connection, a caller could get the text of
  // another customer.
  Cluster Fleet;
  for (const char *Name : {"model-1", "model-2", "app-1"})
    Fleet.faults(Name, {{"crossed", 1}});
  CallRecord Reading = Fleet.run(Fleet.reading(1));
  CHECK(Reading.Outcome_ == "unknown");
  CHECK(Reading.Code_ == 303);
  CallRecord Stream = Fleet.run(Fleet.stream(1));
  CHECK(Stream.Outcome_ == "partial");
  CHECK(Stream.Code_ == 303);
  CHECK_MESSAGE(Fleet.violations().empty(), joined(Fleet.violations()));
}

TEST_CASE("a caller that pipelines requests gets its answers in order") {
  // A caller writes three requests without waiting for answers. The daemon must
  // not serve the second while it answers the first, which would reorder or mix
  // the answers, and must not mistake the bytes of the second request for a
  // disconnect of the caller.
  namespace asio = boost::asio;
  Cluster Fleet;
  asio::io_context Context;
  asio::ip::tcp::socket Socket(Context);
  Socket.connect(Fleet.callersAddress(1));
  std::string Requests;
  for (int Index = 0; Index < 3; ++Index)
    Requests += fmt::format("GET /readings/{}?nonce=pipelined-{} HTTP/1.1\r\n"
                            "Host: test.example\r\n"
                            "Authorization: Bearer test-key-alpha\r\n\r\n",
                            Index, Index);
  asio::write(Socket, asio::buffer(Requests));
  std::string Answers;
  for (int Index = 0; Index < 3; ++Index)
    asio::read_until(Socket, asio::dynamic_buffer(Answers),
                     fmt::format("\"nonce\":\"pipelined-{}\"", Index));
  std::size_t First = Answers.find("pipelined-0");
  std::size_t Second = Answers.find("pipelined-1");
  std::size_t Third = Answers.find("pipelined-2");
  CHECK(First < Second);
  CHECK(Second < Third);
}

TEST_CASE("malformed requests get a numbered error and harm nobody") {
  // Malformed requests of many kinds arrive while a valid one runs. An
  // exception or a limit that is not handled per connection would let one
  // faulty client abort the answers of others.
  namespace asio = boost::asio;
  Cluster Fleet;
  CallRequest Good = Fleet.stream(1);
  Good.MaxTokens_ = 100;
  auto Running = Fleet.start(std::move(Good));
  const std::string Head = "POST /v1/chat/completions HTTP/1.1\r\n"
                           "Host: test.example\r\n"
                           "Authorization: Bearer test-key-alpha\r\n";
  auto WithBody = [&](const std::string &Body) {
    return fmt::format("{}Content-Length: {}\r\n\r\n{}", Head, Body.size(),
                       Body);
  };
  struct Case {
    std::string Bytes_;
    std::string Code_;
  };
  const std::vector<Case> Cases = {
      {"\x16\x03\x01\x02 not HTTP\r\n\r\n", "\"code\":100"},
      {Head + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabc",
       "\"code\":100"},
      {Head + "X-Long: " + std::string(20000, 'a') + "\r\n\r\n",
       "\"code\":101"},
      {Head + "Content-Length: 99999999\r\n\r\n", "\"code\":102"},
      {WithBody("{"), "\"code\":100"},
      {WithBody("[]"), "\"code\":100"},
      {WithBody(R"({"model":7})"), "\"code\":100"},
      {WithBody(R"({"model":"test-model"})"), "\"code\":100"},
      {WithBody(R"({"model":"test-model","messages":[{"content":7}]})"),
       "\"code\":100"},
      {WithBody(R"({"model":"other","messages":[{"content":"a"}]})"),
       "\"code\":107"},
      {WithBody(R"({"model":"test-model","messages":[{"content":"a"}],)"
                R"("max_tokens":-1})"),
       "\"code\":100"},
      {WithBody(R"({"model":"test-model","messages":[{"content":"a"}],)"
                R"("stream":"yes"})"),
       "\"code\":100"},
      {"GET /nowhere HTTP/1.1\r\nHost: test.example\r\n\r\n", "\"code\":105"},
      {"GET /readings HTTP/1.1\r\nHost: test.example\r\n\r\n", "\"code\":104"},
      {"GET / HTTP/1.1\r\nHost: elsewhere\r\n\r\n", "\"code\":105"},
  };
  for (const Case &Bad : Cases) {
    asio::io_context Context;
    asio::ip::tcp::socket Socket(Context);
    Socket.connect(Fleet.callersAddress(1));
    asio::write(Socket, asio::buffer(Bad.Bytes_));
    std::string Answer;
    boost::system::error_code Error;
    asio::read_until(Socket, asio::dynamic_buffer(Answer), "}}", Error);
    std::string Exchange = Bad.Bytes_.substr(0, 200) + " -> " + Answer;
    CHECK_MESSAGE(Answer.find(Bad.Code_) != std::string::npos, Exchange);
    CHECK(Answer.find("\"outcome\":\"not-run\"") != std::string::npos);
  }
  CHECK(Running.get().Correct_);
  CHECK_MESSAGE(Fleet.violations().empty(), joined(Fleet.violations()));
}
