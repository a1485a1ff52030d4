/// \file
/// Callers that don't read their answers.

#include "UnitTests/Request/ForwardingHarness.h"

#include <doctest/doctest.h>

using namespace samphireshunt;
using namespace samphireshunt::tests;

namespace {

constexpr std::size_t Budget = 4000000;
/// Of bodies: tight, and far from full.
constexpr std::size_t TightBytes = 2200000;
/// What may wait for one caller while memory is tight.
constexpr std::size_t MaxPending = 262144;
constexpr int QuickCalls = 30;
/// More than the kernel's buffers hold for a connection.
constexpr int LongEvents = 600;
constexpr std::size_t EventBytes = 20000;
constexpr std::size_t LongAnswerBytes = LongEvents * EventBytes;

bool isLong(const std::string &Request) { return Request.ends_with("long"); }

Script streamed(const std::string &Request, std::size_t) {
  std::string Bytes = streamHead(fieldIn(Request, "x-call-id"));
  for (int Id = 1; Id <= (isLong(Request) ? LongEvents : 1); ++Id)
    Bytes += eventChunk(Id, std::string(EventBytes, 'e'));
  return {Bytes + LastChunk};
}

Script plain(const std::string &Request, std::size_t) {
  std::size_t Size = isLong(Request) ? LongAnswerBytes : 1;
  return {
      completeAnswer(fieldIn(Request, "x-call-id"), std::string(Size, 'b'))};
}

/// One server with one slot.
ForwardingHarness::Options oneSlot(RequestKind Kind, std::size_t MemoryBytes) {
  ForwardingHarness::Options Wanted;
  Wanted.Kind_ = Kind;
  Wanted.MaxInFlight_ = 1;
  Wanted.MemoryBytes_ = MemoryBytes;
  return Wanted;
}

std::size_t answerBytes(ForwardingHarness &Path) {
  return Path.memory().used(MemoryOwner::Answers);
}

} // namespace

TEST_CASE("a caller that doesn't read its stream holds no slot") {
  // Guards against slots held by callers that don't read.
  ForwardingHarness Path(oneSlot(RequestKind::Stream, 64 * LongAnswerBytes),
                         {streamed});
  auto Slow = Path.beginUnread("slow", "long");
  REQUIRE(Path.runUntil([&] { return Path.received() == 1; }));
  // Calls are refused while the server still sends the long answer.
  constexpr int MaxTries = 20;
  CallerReply Quick;
  for (int Try = 0; Try < MaxTries && !Quick.hasLastChunk(); ++Try)
    Quick = Path.call("quick-" + std::to_string(Try));
  CHECK(Quick.hasLastChunk());
  CHECK(answerBytes(Path) > 0);
  Slow->Pause_->cancel();
  CHECK(Path.runUntil([&] { return Slow->Ended_; }));
  CHECK(Slow->hasLastChunk());
  CHECK(Slow->Bytes_.size() > LongAnswerBytes);
  CHECK(Path.runUntil([&] { return answerBytes(Path) == 0; }));
}

TEST_CASE("a caller that doesn't read its plain answer holds no slot") {
  // Guards against slots held by callers that don't read.
  ForwardingHarness Path(oneSlot(RequestKind::Idempotent, 64 * LongAnswerBytes),
                         {plain});
  auto Slow = Path.beginUnread("slow", "long");
  // The slot is in use until the whole answer has come.
  REQUIRE(Path.runUntil([&] { return answerBytes(Path) >= LongAnswerBytes; }));
  CHECK(Path.call("quick").body() == "b");
  CHECK(answerBytes(Path) > 0);
  Slow->Pause_->cancel();
  CHECK(Path.runUntil([&] { return Slow->Ended_; }));
  CHECK(Slow->body().size() == LongAnswerBytes);
}

TEST_CASE("while memory is tight a server waits for its slow caller") {
  // Guards against answers that fill a daemon's memory.
  auto Wanted = oneSlot(RequestKind::Stream, Budget);
  Wanted.MaxInFlight_ = 2;
  ForwardingHarness Path(Wanted, {streamed});
  MemoryUse Bodies(Path.memory(), MemoryOwner::RequestBodies);
  Bodies.set(TightBytes);
  auto Slow = Path.beginUnread("slow", "long");
  REQUIRE(Path.runUntil([&] { return answerBytes(Path) > MaxPending; }));
  for (int Number = 0; Number < QuickCalls; ++Number)
    CHECK(Path.call("quick" + std::to_string(Number)).hasLastChunk());
  CHECK(answerBytes(Path) < 2 * MaxPending);
  Slow->Pause_->cancel();
  CHECK(Path.runUntil([&] { return Slow->Ended_; }));
  CHECK(Slow->hasLastChunk());
  CHECK(Slow->Bytes_.size() > LongAnswerBytes);
}

TEST_CASE("the answer of a reader that is ended is not complete") {
  // Guards against a cut answer that looks whole.
  for (RequestKind Kind : {RequestKind::Stream, RequestKind::Idempotent}) {
    bool IsStream = Kind == RequestKind::Stream;
    ForwardingHarness Path(oneSlot(Kind, 2 * LongAnswerBytes),
                           {IsStream ? streamed : plain});
    auto Slow = Path.beginUnread("slow", "long");
    REQUIRE(Path.runUntil([&] { return answerBytes(Path) > Budget; }));
    MemoryUse Bodies(Path.memory(), MemoryOwner::RequestBodies);
    Bodies.set(2 * LongAnswerBytes);
    // A plain answer has no reader before it is whole.
    CHECK(Path.runUntil([&] { return Path.memory().readersEnded() > 0; }));
    CHECK(Path.runUntil([&] { return answerBytes(Path) == 0; }));
    CHECK(Path.memory().readersEnded() == 1);
    Slow->Pause_->cancel();
    CHECK(Path.runUntil([&] { return Slow->Ended_; }));
    CHECK(Slow->Bytes_.size() < LongAnswerBytes);
    CHECK_FALSE(Slow->hasLastChunk());
  }
}

TEST_CASE("a server is stopped at once when a slow caller leaves") {
  // Guards against a run that goes on for a caller that has left.
  ForwardingHarness Path(oneSlot(RequestKind::Stream, Budget), {streamed});
  MemoryUse Bodies(Path.memory(), MemoryOwner::RequestBodies);
  Bodies.set(TightBytes);
  auto Slow = Path.beginUnread("slow", "long");
  REQUIRE(Path.runUntil([&] { return answerBytes(Path) > MaxPending; }));
  ForwardingHarness::disconnect(*Slow);
  CHECK(Path.call("quick").hasLastChunk());
  CHECK(answerBytes(Path) == 0);
  CHECK(Path.server(0).connections() == 2);
}

TEST_CASE("a large body is refused without memory for it") {
  // Guards against bodies that fill a daemon's memory.
  ForwardingHarness Path(oneSlot(RequestKind::Idempotent, Budget), {plain});
  {
    MemoryUse Bodies(Path.memory(), MemoryOwner::RequestBodies);
    Bodies.set(Budget);
    CallerReply Refused = Path.call("large", std::string(100000, 'x'));
    CHECK(Refused.status() == 503);
    CHECK_FALSE(fieldIn(Refused.Bytes_, "retry-after").empty());
    CHECK(Path.received() == 0);
    CHECK(Path.call("small").status() == 200);
  }
  CHECK(Path.call("large", std::string(100000, 'x')).status() == 200);
  CHECK(Path.runUntil([&] { return Path.memory().used() == 0; }));
}
