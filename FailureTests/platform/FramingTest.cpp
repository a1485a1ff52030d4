/// \file
/// Requests and answers whose end can be read in several ways, at a real
/// daemon, as raw bytes.

#include "FailureTests/platform/RawDaemon.h"
#include "UnitTests/Connection/FramingRows.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <string>

using namespace samphireshunt;
using namespace samphireshunt::tests;

namespace {

std::string requestOf(const std::string &Id, const FramingRow &Row) {
  return fmt::format("POST /notes/{} HTTP/1.{}\r\nHost: framing.example\r\n"
                     "{}{}\r\n{}\r\n{}",
                     Id, Row.MinorVersion_, RawDaemon::IdField, Id, Row.Fields_,
                     Row.Body_);
}

/// \returns the number of status lines in what a caller received.
std::size_t countAnswers(const std::string &Bytes) {
  constexpr std::string_view Version = "HTTP/1.1 ";
  std::size_t Count = 0;
  for (std::size_t At = 0; (At = Bytes.find(Version, At)) != Bytes.npos;) {
    At += Version.size();
    Count += At < Bytes.size() && Bytes[At] >= '0' && Bytes[At] <= '9' ? 1 : 0;
  }
  return Count;
}

} // namespace

TEST_CASE("no request is run that is hidden in another one") {
  // Guards against a body that is run as a request, as the daemon and its
  // callers disagree on where the request before it ends.
  RawDaemon Daemon;
  const FramingRow Plain = framingRows().front();
  int Number = 0;
  for (const FramingRow &Row : framingRows()) {
    std::string Id = fmt::format("outer-{}", ++Number);
    // The hidden one follows at once, so that each shorter reading finds it.
    std::string Sent =
        requestOf(Id, Row) + (Row.Content_ ? "" : requestOf("inner", Plain));
    CAPTURE(Sent);
    std::string Answer = RawDaemon::exchange(Daemon.listeners().front(), Sent,
                                             Row.Content_.has_value());
    auto Received = Daemon.received();
    if (!Row.Content_) {
      CHECK_MESSAGE(Answer.starts_with("HTTP/1."), Answer);
      CHECK_MESSAGE(Answer.find(" 400 ") == 8, Answer);
      CHECK(countAnswers(Answer) == 1);
      CHECK(Received.empty());
      continue;
    }
    CHECK_MESSAGE(Answer.find(" 200 ") == 8, Answer);
    REQUIRE(Received.size() == 1);
    std::size_t Head = Received[0].find("\r\n\r\n");
    CHECK(Received[0].starts_with("POST /notes/" + Id + " HTTP/1.1\r\n"));
    CHECK(Received[0].substr(Head + 4) == *Row.Content_);
    std::string Fields = lowerCase(Received[0].substr(0, Head + 2));
    CHECK(Fields.find("transfer-encoding") == std::string::npos);
    CHECK(Fields.find(fmt::format("\r\ncontent-length: {}\r\n",
                                  Row.Content_->size())) != std::string::npos);
    CHECK(Fields.find("x-sum") == std::string::npos);
  }
}

TEST_CASE("all addresses refuse a request whose end is unclear") {
  // Guards against a listener with a reading of its own.
  RawDaemon Daemon;
  for (const Endpoint &To : Daemon.listeners())
    for (const FramingRow &Row : framingRows()) {
      if (Row.Content_)
        continue;
      std::string Sent = requestOf("x", Row);
      CAPTURE(Sent);
      std::string Answer = RawDaemon::exchange(To, Sent, /*Whole=*/false);
      CHECK_MESSAGE(Answer.find(" 400 ") == 8, Answer);
    }
}

TEST_CASE("an answer whose end is unclear reaches no caller as whole") {
  // Guards against an answer that is cut, or mixed with the next one.
  RawDaemon Daemon;
  const FramingRow Plain = framingRows().front();
  int Number = 0;
  for (const FramingRow &Row : framingRows()) {
    std::string Answer = fmt::format("HTTP/1.{} 200 OK\r\n{}\r\n{}",
                                     Row.MinorVersion_, Row.Fields_, Row.Body_);
    CAPTURE(Answer);
    Daemon.answerWith(Answer);
    std::string Reply = RawDaemon::exchange(
        Daemon.listeners().front(),
        requestOf(fmt::format("outer-{}", ++Number), Plain), /*Whole=*/true);
    CHECK_MESSAGE(Reply.find(Row.Content_ ? " 200 " : " 502 ") == 8, Reply);
    if (Row.Content_)
      CHECK(Reply.ends_with("\r\n\r\n" + *Row.Content_));
    else
      CHECK_MESSAGE(Reply.find("312") != std::string::npos, Reply);
    CHECK(Daemon.received().size() == 1);
  }
}
