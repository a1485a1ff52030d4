/// \file
/// What callers' libraries expect of a server of HTTP/1.1 (docs/HTTP.md), at a
/// real daemon, as raw bytes.

#include "FailureTests/platform/RawDaemon.h"

#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <doctest/doctest.h>
#include <fmt/format.h>

#include <string>
#include <vector>

using namespace samphireshunt;
using namespace samphireshunt::tests;
namespace asio = boost::asio;

namespace {

constexpr std::string_view Continue = "HTTP/1.1 100 Continue\r\n\r\n";

/// The head of a request after which the daemon closes the connection.
std::string headOf(const std::string &Line, const std::string &Fields) {
  return fmt::format("{}\r\n{}x\r\nConnection: close\r\n{}\r\n", Line,
                     RawDaemon::IdField, Fields);
}

const std::string Host = "Host: framing.example\r\n";

std::string replyOf(const RawDaemon &Daemon, const std::string &Bytes) {
  return RawDaemon::exchange(Daemon.listeners().front(), Bytes,
                             /*Whole=*/false);
}

/// Sends \p Head, and \p Body once the daemon wants it. \returns all that comes
/// back.
std::string exchangeInTurn(const RawDaemon &Daemon, const std::string &Head,
                           const std::string &Body) {
  asio::io_context Context;
  asio::ip::tcp::socket Socket(Context);
  Socket.connect(Daemon.listeners().front());
  std::string Answer;
  auto Talk = [&]() -> Awaitable<void> {
    boost::system::error_code Error;
    auto Token = asio::redirect_error(asio::use_awaitable, Error);
    co_await asio::async_write(Socket, asio::buffer(Head), Token);
    co_await asio::async_read_until(Socket, asio::dynamic_buffer(Answer),
                                    "\r\n\r\n", Token);
    if (Answer == Continue)
      co_await asio::async_write(Socket, asio::buffer(Body), Token);
    while (!Error)
      co_await asio::async_read(Socket, asio::dynamic_buffer(Answer),
                                asio::transfer_at_least(1), Token);
  };
  asio::co_spawn(Context, std::move(Talk), asio::detached);
  Context.run_for(std::chrono::seconds(8));
  return Context.stopped() ? Answer : "not closed: " + Answer;
}

bool hasField(const std::string &Message, const std::string &Line) {
  return lowerCase(Message).find("\r\n" + Line) != Message.npos;
}

} // namespace

TEST_CASE("a caller that waits before its body is told to send it") {
  // Guards against a second that callers' libraries wait for before each large
  // body.
  RawDaemon Daemon;
  const std::string Fields =
      Host + "Expect: 100-Continue\r\nContent-Length: 4\r\n";
  std::string Answer =
      exchangeInTurn(Daemon, headOf("POST /notes/a HTTP/1.1", Fields), "body");
  CHECK_MESSAGE(Answer.starts_with(std::string(Continue) + "HTTP/1.1 200 "),
                Answer);
  auto Received = Daemon.received();
  REQUIRE(Received.size() == 1);
  CHECK(Received[0].ends_with("\r\n\r\nbody"));
  CHECK_FALSE(hasField(Received[0], "expect:"));
}

TEST_CASE("a body is not asked for if its request is refused") {
  // Guards against a body that is sent for nothing.
  RawDaemon Daemon;
  const std::string Fields =
      Host + "Expect: 100-continue\r\nContent-Length: 4\r\n";
  std::string Answer = exchangeInTurn(
      Daemon, headOf("POST /elsewhere/a HTTP/1.1", Fields), "body");
  CHECK_MESSAGE(Answer.starts_with("HTTP/1.1 404 "), Answer);
  CHECK(Daemon.received().empty());
}

TEST_CASE("a request is refused whose method, target or host is none") {
  // Guards against a request that is run though the daemon can't tell for which
  // host, and against a fault of the program that a caller brings about.
  struct Row {
    std::string Line_;
    std::string Fields_;
    int Status_;
  };
  RawDaemon Daemon;
  for (const Row &Case : std::vector<Row>{
           {"GET /notes/a HTTP/1.1", "", 400},
           {"GET /notes/a HTTP/1.0", "", 404},
           {"GET /notes/a HTTP/1.1", "Host: framing.example, b\r\n", 400},
           {"GET notes/a HTTP/1.1", Host, 400},
           {"GET ftp://framing.example/notes/a HTTP/1.1", Host, 400},
           {"GET http://other.example/notes/a HTTP/1.1", Host, 404},
           {"CONNECT framing.example:80 HTTP/1.1", Host, 405},
           {"TRACE /notes/a HTTP/1.1", Host, 405},
           {"TRACE /notes/a HTTP/1.1", Host + "Content-Length: 4\r\n", 405}}) {
    CAPTURE(Case.Line_);
    CAPTURE(Case.Fields_);
    std::string Answer = replyOf(Daemon, headOf(Case.Line_, Case.Fields_));
    // The version is that of the request.
    CHECK_MESSAGE(Answer.find(fmt::format(" {} ", Case.Status_)) == 8, Answer);
    CHECK(hasField(Answer, "x-outcome: not-run"));
    CHECK(Daemon.received().empty());
  }
}

TEST_CASE("a target with the host in it reaches the host's server as a path") {
  // Guards against a request to a known host that is answered 404.
  RawDaemon Daemon;
  std::string Answer =
      replyOf(Daemon, headOf("GET http://framing.example/notes/a?b HTTP/1.1",
                             "Host: other.example\r\n"));
  CHECK_MESSAGE(Answer.starts_with("HTTP/1.1 200 "), Answer);
  auto Received = Daemon.received();
  REQUIRE(Received.size() == 1);
  CHECK(Received[0].starts_with("GET /notes/a?b HTTP/1.1\r\n"));
  CHECK(hasField(Received[0], "host: framing.example\r\n"));
}

TEST_CASE("one empty line before a request is skipped") {
  // Guards against callers that end a body with a line too many.
  RawDaemon Daemon;
  const std::string Request = fmt::format("GET /notes/a HTTP/1.1\r\n{}{}x\r\n",
                                          Host, RawDaemon::IdField);
  std::string Answer = replyOf(Daemon, "\r\n" + Request + "\r\n\r\n" + Request +
                                           "Connection: close\r\n\r\n");
  CHECK_MESSAGE(Answer.starts_with("HTTP/1.1 200 "), Answer);
  CHECK_MESSAGE(Answer.find("HTTP/1.1 200 ", 1) != Answer.npos, Answer);
  CHECK(Daemon.received().size() == 2);
  Answer = replyOf(Daemon, "\r\n\r\n" + Request + "\r\n");
  CHECK_MESSAGE(Answer.starts_with("HTTP/1.1 400 "), Answer);
  CHECK(Daemon.received().empty());
}

TEST_CASE("an answer without a body has the length that its server states") {
  // Guards against a caller that takes a resource for empty.
  struct Row {
    std::string Method_;
    std::string Answer_;
    std::string Length_; ///< Empty: none.
  };
  RawDaemon Daemon;
  for (const Row &Case : std::vector<Row>{
           {"HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n", "7"},
           {"HEAD", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
            ""},
           {"GET", "HTTP/1.1 304 Same\r\nContent-Length: 9\r\n\r\n", "9"},
           {"GET", "HTTP/1.1 304 Same\r\nEtag: a\r\n\r\n", ""},
           {"GET", "HTTP/1.1 204 None\r\n\r\n", ""},
           {"GET", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "0"}}) {
    CAPTURE(Case.Method_);
    CAPTURE(Case.Answer_);
    Daemon.answerWith(Case.Answer_);
    std::string Answer =
        replyOf(Daemon, headOf(Case.Method_ + " /notes/a HTTP/1.1", Host));
    CHECK_MESSAGE(Answer.starts_with(Case.Answer_.substr(0, 13)), Answer);
    CHECK_MESSAGE(Answer.ends_with("\r\n\r\n"), Answer);
    CHECK_MESSAGE(hasField(Answer, "content-length:") == !Case.Length_.empty(),
                  Answer);
    if (!Case.Length_.empty())
      CHECK_MESSAGE(
          hasField(Answer, "content-length: " + Case.Length_ + "\r\n"), Answer);
    Daemon.received();
  }
}

TEST_CASE("a status that is none reaches no caller") {
  // Guards against a status that a caller's library can't read.
  RawDaemon Daemon;
  for (const char *Status : {"600", "999"}) {
    Daemon.answerWith(
        fmt::format("HTTP/1.1 {} Odd\r\nContent-Length: 0\r\n\r\n", Status));
    std::string Answer = replyOf(Daemon, headOf("GET /notes/a HTTP/1.1", Host));
    CHECK_MESSAGE(Answer.starts_with("HTTP/1.1 502 "), Answer);
  }
  Daemon.answerWith("HTTP/1.1 299 Odd\r\nContent-Length: 0\r\n\r\n");
  std::string Answer = replyOf(Daemon, headOf("GET /notes/a HTTP/1.1", Host));
  CHECK_MESSAGE(Answer.starts_with("HTTP/1.1 299 "), Answer);
  CHECK_MESSAGE(Answer.find('<') == Answer.npos, Answer);
}
