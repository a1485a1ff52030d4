/// \file
/// Header fields that can be read in several ways, at a real daemon, as raw
/// bytes.

#include "FailureTests/platform/RawDaemon.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <string>
#include <vector>

using namespace samphireshunt;
using namespace samphireshunt::tests;

namespace {

/// A whole request with further fields, each with its end of line.
std::string requestWith(const std::string &Id, const std::string &Fields) {
  return fmt::format("POST /notes/{} HTTP/1.1\r\nHost: framing.example\r\n"
                     "{}{}\r\nContent-Length: 4\r\n{}\r\nbody",
                     Id, RawDaemon::IdField, Id, Fields);
}

/// An answer of the engine with further fields.
std::string answerWith(const std::string &Fields) {
  return "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + Fields + "\r\nok";
}

constexpr const char *Id = "X-Samphireshunt-Request-Id: $ID\r\n";
constexpr const char *Stamp = "X-Samphireshunt-Server-Stamp: e\r\n";

/// \returns the lines of a head in lower case that begin with \p Name, in their
/// order.
std::vector<std::string> linesOf(const std::string &Message,
                                 const std::string &Name) {
  std::string Head = lowerCase(Message.substr(0, Message.find("\r\n\r\n") + 2));
  std::vector<std::string> Lines;
  for (std::size_t At = 0; (At = Head.find("\r\n" + Name, At)) != Head.npos;) {
    std::size_t End = Head.find("\r\n", At + 2);
    Lines.push_back(Head.substr(At + 2, End - At - 2));
    At = End;
  }
  return Lines;
}

using Lines = std::vector<std::string>;

} // namespace

TEST_CASE("no request is run whose fields can be read in two ways") {
  // Guards against a server that gets other fields than the caller sent, or
  // than the daemon decided by.
  RawDaemon Daemon;
  const std::vector<std::string> Rows = {
      "Connection: X-Samphireshunt-Request-Id\r\n",
      "Connection: keep-alive\r\nConnection: te,x-samphireshunt-request-id\r\n",
      "Connection: Host\r\n",
      "Connection: Authorization\r\n",
      "Connection: Content-Type\r\nContent-Type: text/plain\r\n",
      "Connection: Cookie\r\nCookie: a=1\r\n",
      "X-Samphireshunt-Token-Count: 1,1\r\n"
      "Connection: X-Samphireshunt-Token-Count\r\n",
      "X-Samphireshunt-Model: m\r\nConnection: close, "
      "X-Samphireshunt-Model\r\n",
      "X-Samphireshunt-Request-Id: other\r\n",
      "X-Samphireshunt-Token-Count: 1,1\r\n"
      "X-Samphireshunt-Token-Count: 9,9\r\n",
      "X-Samphireshunt-Model: m\r\nX-Samphireshunt-Model: n\r\n",
      "X-Samphireshunt-Prompt-Prefix: a:1\r\n"
      "X-Samphireshunt-Prompt-Prefix: b:1\r\n",
      "X-Samphireshunt-Deadline-Ms: 900\r\nX-Samphireshunt-Deadline-Ms: 9\r\n",
      "Authorization: Bearer a\r\nAuthorization: Bearer b\r\n",
      "Content-Type: text/plain\r\nContent-Type: text/html\r\n",
      "Last-Event-Id: 1\r\nLast-Event-Id: 2\r\n",
      "X_Samphireshunt_Tenant: t-1\r\n",
      "X-Samphireshunt-Request_Id: other\r\n",
      "Content_Length: 2\r\n",
      "Transfer_Encoding: chunked\r\n",
  };
  int Number = 0;
  for (const std::string &Row : Rows) {
    CAPTURE(Row);
    std::string Answer = RawDaemon::exchange(
        Daemon.listeners().front(),
        requestWith(fmt::format("twofold-{}", ++Number), Row), /*Whole=*/true);
    CHECK_MESSAGE(Answer.starts_with("HTTP/1.1 400 "), Answer);
    CHECK_MESSAGE(Answer.find("malformed-request") != Answer.npos, Answer);
    CHECK(Daemon.received().empty());
  }
}

TEST_CASE("a server gets the fields of a request as the caller sent them") {
  // Guards against lines of one field that are joined, lost or reordered.
  RawDaemon Daemon;
  std::string Answer = RawDaemon::exchange(
      Daemon.listeners().front(),
      requestWith("plain",
                  "Cookie: a=1\r\nAccept: text/plain\r\nX-Part: 1\r\n"
                  "Cookie: b=2\r\nAccept: text/html\r\nX-Part: 2\r\n"
                  "Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\nX_Own: 1\r\n"),
      /*Whole=*/true);
  CHECK_MESSAGE(Answer.starts_with("HTTP/1.1 200 "), Answer);
  auto Received = Daemon.received();
  REQUIRE(Received.size() == 1);
  CHECK(linesOf(Received[0], "cookie") == Lines{"cookie: a=1", "cookie: b=2"});
  CHECK(linesOf(Received[0], "accept") ==
        Lines{"accept: text/plain", "accept: text/html"});
  CHECK(linesOf(Received[0], "x-part") == Lines{"x-part: 1", "x-part: 2"});
  CHECK(linesOf(Received[0], "x_own") == Lines{"x_own: 1"});
  CHECK(linesOf(Received[0], "host") == Lines{"host: framing.example"});
  CHECK(linesOf(Received[0], "x-hop").empty());
  CHECK(linesOf(Received[0], "connection").empty());
}

TEST_CASE("all addresses refuse fields that can be read in two ways") {
  // Guards against a listener with a reading of its own.
  RawDaemon Daemon;
  for (const Endpoint &To : Daemon.listeners()) {
    std::string Answer = RawDaemon::exchange(
        To, requestWith("x", "Connection: Host\r\n"), /*Whole=*/true);
    CHECK_MESSAGE(Answer.starts_with("HTTP/1.1 400 "), Answer);
  }
}

TEST_CASE("an answer whose fields tell two origins reaches no caller") {
  // Guards against an answer that is taken for another request's, or for that
  // of another server.
  RawDaemon Daemon;
  const std::string Other = "X-Samphireshunt-Request-Id: other\r\n";
  const std::string OtherStamp = "X-Samphireshunt-Server-Stamp: f\r\n";
  const std::string Type = "Content-Type: text/plain\r\n";
  const std::vector<std::string> Rows = {
      std::string(Id) + Stamp + OtherStamp, Other + Id + Stamp,
      Id + Other + Stamp, Id + Type + Stamp + "Content-Type: text/html\r\n",
      std::string(Id) + Id + Stamp};
  int Number = 0;
  for (const std::string &Row : Rows) {
    CAPTURE(Row);
    Daemon.answerExactly(answerWith(Row));
    std::string Reply = RawDaemon::exchange(
        Daemon.listeners().front(),
        requestWith(fmt::format("outer-{}", ++Number), ""), /*Whole=*/true);
    CHECK_MESSAGE(Reply.starts_with("HTTP/1.1 502 "), Reply);
    CHECK_MESSAGE(Reply.find("malformed-answer") != Reply.npos, Reply);
    CHECK(Daemon.received().size() == 1);
  }
}

TEST_CASE("a caller gets the fields of an answer as the server sent them") {
  // Guards against an answer without its proof, its type or some of its lines.
  RawDaemon Daemon;
  Daemon.answerExactly(answerWith(
      std::string(Id) + Stamp +
      "Connection: X-Samphireshunt-Server-Stamp, X-Hop\r\n"
      "Connection: X-Samphireshunt-Request-Id, Content-Type\r\n"
      "Content-Type: text/plain\r\nX-Hop: 1\r\nSet-Cookie: a=1\r\n"
      "Vary: Accept\r\nSet-Cookie: b=2\r\nVary: Cookie\r\nLink: <1>\r\n"
      "Link: <2>\r\nRetry-After: 1\r\nRetry-After: 2\r\n"));
  std::string Reply =
      RawDaemon::exchange(Daemon.listeners().front(), requestWith("plain", ""),
                          /*Whole=*/true);
  CHECK_MESSAGE(Reply.starts_with("HTTP/1.1 200 "), Reply);
  CHECK(linesOf(Reply, "x-samphireshunt") ==
        Lines{"x-samphireshunt-request-id: plain",
              "x-samphireshunt-server-stamp: e"});
  CHECK(linesOf(Reply, "content-type") == Lines{"content-type: text/plain"});
  CHECK(linesOf(Reply, "set-cookie") ==
        Lines{"set-cookie: a=1", "set-cookie: b=2"});
  CHECK(linesOf(Reply, "vary") == Lines{"vary: accept", "vary: cookie"});
  CHECK(linesOf(Reply, "link") == Lines{"link: <1>", "link: <2>"});
  CHECK(linesOf(Reply, "retry-after") ==
        Lines{"retry-after: 1", "retry-after: 2"});
  CHECK(linesOf(Reply, "x-hop").empty());
  CHECK(Reply.ends_with("\r\n\r\nok"));
}
