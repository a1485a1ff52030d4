/// \file
/// Answers that servers break off, in all framings: they must never reach their
/// callers as complete ones.

#include "UnitTests/Request/ForwardingHarness.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>

using namespace samphireshunt;
using namespace samphireshunt::tests;

namespace {

/// How a scripted server marks the end of its answer.
enum class Framing { Length, Chunks, Close };
constexpr std::array Framings = {Framing::Length, Framing::Chunks,
                                 Framing::Close};

std::string event(int Id, const std::string &Data) {
  return fmt::format("id: {}\ndata: {}\n\n", Id, Data);
}

/// \returns a successful stream of events with \p Body, with a regular end.
Script streamOf(Framing Framed, const std::string &CallId,
                const std::string &Body) {
  Script Answer;
  std::string Fields = fmt::format("X-Call-Id: {}\r\nX-Answer-Proof: p\r\n"
                                   "Content-Type: text/event-stream\r\n",
                                   CallId);
  std::string Content = Body;
  if (Framed == Framing::Length)
    Fields += fmt::format("Content-Length: {}\r\n", Body.size());
  if (Framed == Framing::Chunks) {
    Fields += "Transfer-Encoding: chunked\r\n";
    Content = (Body.empty() ? "" : chunk(Body)) + LastChunk;
  }
  Answer.Bytes_ = "HTTP/1.1 200 OK\r\n" + Fields + "\r\n" + Content;
  Answer.Then_ =
      Framed == Framing::Close ? Script::Then::Close : Script::Then::KeepOpen;
  return Answer;
}

ForwardingHarness::Options streams(bool Resumable) {
  ForwardingHarness::Options Wanted;
  Wanted.Kind_ = RequestKind::Stream;
  Wanted.Resumable_ = Resumable;
  return Wanted;
}

/// Answers each request with this stream.
ScriptOf always(Framing Framed, std::string Body) {
  return [=](const std::string &Request, std::size_t) {
    return streamOf(Framed, fieldIn(Request, "x-call-id"), Body);
  };
}

} // namespace

TEST_CASE("a stream that ends within an event never looks complete") {
  // Guards against a caller that takes a stream for complete whose server
  // crashed, since its connection ended normally.
  for (Framing Framed : Framings)
    for (std::string Rest : {"id: 2", "id: 2\n", "id: 2\ndata: b\n"}) {
      ForwardingHarness Path(streams(false),
                             {always(Framed, event(1, "a") + Rest)});
      CallerReply Reply = Path.call("c");
      CAPTURE(bodyEndName(static_cast<BodyEnd>(Framed)));
      CAPTURE(Rest);
      CHECK(Reply.status() == 200);
      CHECK(Reply.Ended_);
      CHECK_FALSE(Reply.hasLastChunk());
      CHECK(Reply.body().find("data: a") != std::string::npos);
      CHECK(Reply.body().find("id: 2") == std::string::npos);
      CHECK(Path.received() == 1);
    }
}

TEST_CASE("a resumable stream that ends within an event is resumed after its "
          "last complete event") {
  // Guards against a missing or doubled event where one server's stream ended
  // normally within an event and another one, framed differently, goes on.
  for (Framing First : Framings)
    for (Framing Second : Framings) {
      auto Count = std::make_shared<int>(0);
      auto Each = [=](const std::string &Request, std::size_t) {
        std::string CallId = fieldIn(Request, "x-call-id");
        if ((*Count)++ == 0)
          return streamOf(First, CallId, event(1, "a") + "id: 2\ndata: b");
        bool Continues = fieldIn(Request, "last-event-id") == "1";
        return streamOf(Second, CallId,
                        Continues ? event(2, "b") + event(3, "c") : "");
      };
      ForwardingHarness Path(streams(true), {Each, Each});
      CallerReply Reply = Path.call("c");
      CHECK(Reply.hasLastChunk());
      std::string Body = Reply.body();
      for (std::string Data : {"data: a\n\n", "data: b\n\n", "data: c\n\n"}) {
        std::size_t At = Body.find(Data);
        CHECK(At != std::string::npos);
        CHECK(Body.find(Data, At + 1) == std::string::npos);
      }
      CHECK(Path.received() == 2);
    }
}

TEST_CASE("a stream without a length or chunks is complete when its connection "
          "ends between events") {
  // Guards against valid answers that are delivered late, cut or run again
  // because only their connection's end tells that they are complete.
  for (bool Resumable : {true, false})
    for (std::string After : {"", "\n", ": note\n", ": note\n\n", "\r\n"}) {
      ForwardingHarness Path(
          streams(Resumable),
          {always(Framing::Close, event(1, "a") + event(2, "b") + After)});
      CallerReply Reply = Path.call("c");
      CHECK(Reply.status() == 200);
      CHECK(Reply.hasLastChunk());
      CHECK(Reply.body().find("data: b") != std::string::npos);
      CHECK(Path.received() == 1);
    }
}

TEST_CASE("a stream whose connection is reset while the request is still being "
          "sent is not complete") {
  // Guards against a reset that the write of the request's body receives, after
  // which the read sees a normal end.
  const std::string Long(8 * 1024 * 1024 - 1, 'b');
  auto AnswerEarly = [](const std::string &Request, std::size_t) {
    Script Early =
        streamOf(Framing::Close, fieldIn(Request, "x-call-id"), event(1, "a"));
    Early.Then_ = Script::Then::Stall;
    Early.AnswerAfterBytes_ = 1000;
    return Early;
  };
  ForwardingHarness Path(streams(false), {AnswerEarly});
  auto Reply = Path.begin("c", Long);
  REQUIRE(Path.runUntil(
      [&] { return Reply->Bytes_.find("data: a") != std::string::npos; }));
  Path.server(0).resetConnections();
  CHECK(Path.runUntil([&] { return Reply->Ended_; }));
  CHECK_FALSE(Reply->hasLastChunk());
}

TEST_CASE("a stream without any event is complete only if its server says so") {
  // Guards against an empty answer that looks complete, of a server that
  // crashed after the head.
  for (Framing Framed : Framings) {
    ForwardingHarness Path(streams(false), {always(Framed, "")});
    CallerReply Reply = Path.call("c");
    CHECK(Reply.status() == (Framed == Framing::Close ? 502 : 200));
  }
  auto Count = std::make_shared<int>(0);
  auto Each = [Count](const std::string &Request, std::size_t) {
    std::string Body = (*Count)++ == 0 ? "" : event(1, "a");
    return streamOf(Framing::Close, fieldIn(Request, "x-call-id"), Body);
  };
  ForwardingHarness Path(streams(true), {Each, Each});
  CallerReply Reply = Path.call("c");
  CHECK(Reply.hasLastChunk());
  CHECK(Reply.body().find("data: a") != std::string::npos);
}

TEST_CASE("a server that breaks off a stream with a normal end and is gone has "
          "crashed") {
  // Guards against a request that ends one server after the other, unnoticed,
  // since their connections end normally.
  auto Ends = [](const std::string &Request, std::size_t) {
    Script Answer = streamOf(Framing::Close, fieldIn(Request, "x-call-id"),
                             event(1, "a") + "id: 2\ndata: b");
    Answer.Then_ = Script::Then::End;
    return Answer;
  };
  ForwardingHarness Path(streams(false), std::vector<ScriptOf>(10, Ends));
  for (int Number = 0; Number < 10; ++Number)
    CHECK_FALSE(
        Path.call("c" + std::to_string(Number), "poison").hasLastChunk());
  CHECK(Path.received() <= 6);
}

TEST_CASE(
    "an answer to a streaming route that is no stream is a plain answer") {
  // Guards against valid answers that are taken for broken streams.
  for (std::string Type : {"Content-Type: application/json\r\n", ""}) {
    auto Json = [Type](const std::string &Request, std::size_t) {
      return Script{fmt::format("HTTP/1.1 200 OK\r\nX-Call-Id: {}\r\n"
                                "X-Answer-Proof: p\r\n{}"
                                "Content-Length: 2\r\n\r\n{{}}",
                                fieldIn(Request, "x-call-id"), Type)};
    };
    ForwardingHarness Path(streams(false), {Json});
    CallerReply Reply = Path.call("c");
    CHECK(Reply.status() == 200);
    CHECK(Reply.body() == "{}");
  }
}

TEST_CASE("an answer to HEAD is complete with its head") {
  // Guards against a request that waits until its deadline for a body that
  // never comes.
  auto HeadOnly = [](const std::string &Request, std::size_t) {
    return Script{fmt::format("HTTP/1.1 200 OK\r\nX-Call-Id: {}\r\n"
                              "X-Answer-Proof: p\r\nContent-Length: 7\r\n\r\n",
                              fieldIn(Request, "x-call-id"))};
  };
  ForwardingHarness::Options Wanted;
  Wanted.Method_ = "HEAD";
  Wanted.Timeout_ = std::chrono::milliseconds(500);
  ForwardingHarness Path(Wanted, {HeadOnly});
  CHECK(Path.call("c", "").status() == 200);
}
