/// \file
/// A daemon that follows others instead of the platform's store, while these
/// are well, frozen, behind, or have lost the store themselves.

#include "UnitTests/platform/FollowerFleet.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

using namespace samphireshunt;
using namespace samphireshunt::tests;

namespace {
/// Answers may take 160 ms: longer than a busy machine stops a process.
constexpr int UnhurriedBy = 4;
} // namespace

TEST_CASE("a daemon that follows another hears all changes and leaves the "
          "service alone") {
  Fleet Test(/*Small=*/false, UnhurriedBy);
  FollowingDaemon &Spare = Test["spare"];
  REQUIRE(Test.runUntil([&] { return Spare.follows("first"); }));
  Test.runFor(milliseconds(50));
  auto Calls = Test.calls();
  Test.put("servers/i-2", serverEntry("ready"));
  Test.put("op/config", configuration(5));
  CHECK(Test.runUntil([&] {
    return Spare.isActive("i-2") && Spare.version() == DocumentVersion(5);
  }));
  Test.put("servers/i-1", serverEntry("draining"));
  CHECK(Test.runUntil([&] { return !Spare.isActive("i-1"); }));
  // A while longer than the lease: what the reader confirms renews it.
  Test.runFor(Lease + milliseconds(300));
  CHECK(Spare.Freshness_.valid(BootClock::now()));
  CHECK(Test.calls() == Calls);
}

TEST_CASE("a reader that freezes is left within two questions") {
  // Symptom: a daemon sends work to a server long after it began to leave.
  // Sequence: the daemon that it follows freezes; a server begins to leave.
  // Cause: nobody told it, and it did not ask anybody else.
  Fleet Test(/*Small=*/false, UnhurriedBy);
  FollowingDaemon &Spare = Test["spare"];
  REQUIRE(Test.runUntil([&] { return Spare.follows("first"); }));
  Test.Frozen_.insert("first");
  Test.put("servers/i-1", serverEntry("draining"));
  CHECK(Test.runUntil([&] { return !Spare.isActive("i-1"); }));
  CHECK(Spare.follows("second"));
}

TEST_CASE("a daemon that becomes a reader proves at once that it has the "
          "service") {
  // Symptom: when a fleet starts, or readers are replaced, all followers read
  // the service themselves for seconds.
  // Sequence: a daemon that was alone is chosen as a reader; it confirms what
  // it knows only when its earlier, longer pause is over. Cause: to its
  // followers it looks as if it had lost the service until then.
  Fleet Test;
  FollowingDaemon &Spare = Test["spare"];
  REQUIRE(Test.runUntil([&] { return Spare.follows("first"); }));
  auto Calls = Test.calls();
  // The first proof of one that is alone would come within this time.
  Test.runFor(milliseconds(300));
  CHECK(Spare.follows("first"));
  CHECK(Test.calls() == Calls);
}

TEST_CASE("a reader that answers is followed for a while, though another one "
          "would be chosen by now") {
  // Symptom: beside a burst daemons on weak links get the whole directory of
  // servers again and again.
  // Sequence: the view of the members flaps, and with it the best reader.
  // Cause: the reader was chosen anew with each question.
  Fleet Test;
  FollowingDaemon &Spare = Test["spare"];
  REQUIRE(Test.runUntil([&] { return Spare.follows("first"); }));
  std::ranges::reverse(Spare.Choice_.Readers_);
  Test.runFor(milliseconds(150));
  CHECK(Spare.follows("first"));
  CHECK(Test.runUntil([&] { return Spare.follows("second"); }));
  // One that may not be followed any more is left at once.
  Spare.Choice_.Readers_ = {VmId("first")};
  CHECK(Test.runUntil([&] { return Spare.follows("first"); }));
}

TEST_CASE("with no reader left the service is read, and readers are followed "
          "again when they are back") {
  Fleet Test;
  FollowingDaemon &Spare = Test["spare"];
  REQUIRE(Test.runUntil([&] { return Spare.follows("first"); }));
  Test.Frozen_ = {"first", "second"};
  Test.put("servers/i-1", serverEntry("draining"));
  CHECK(Test.runUntil([&] { return !Spare.isActive("i-1"); }));
  CHECK_FALSE(Spare.Service_->paused());
  Test.Frozen_.clear();
  CHECK(Test.runUntil([&] { return Spare.Service_->paused(); }));
}

TEST_CASE("a reader that lost the service renews nothing and is left") {
  // Symptom: a key that was taken away works for longer than the bound.
  // Sequence: the reader is cut off from the service; its followers ask on.
  // Cause: an answer was taken for a confirmation, whatever its age.
  Fleet Test;
  FollowingDaemon &Spare = Test["spare"];
  REQUIRE(Test.runUntil([&] { return Spare.follows("first"); }));
  Test.storeOf("first").Silent_ = true;
  CHECK(Test.runUntil([&] { return Spare.follows("second"); }));
  Test.storeOf("second").Silent_ = true;
  Test.SpareStore_.Silent_ = true;
  CHECK(
      Test.runUntil([&] { return !Spare.Freshness_.valid(BootClock::now()); }));
}

TEST_CASE("readers that have lost the service are passed over until one has "
          "it") {
  // Symptom: while the service turns some readers away, all who follow them
  // read it themselves, at hundreds of calls a second.
  // Sequence: two of three readers lose it, and say so when they are asked.
  // Cause: two tries were enough, though each had taken no time.
  Fleet Test;
  FollowingDaemon &Spare = Test["spare"];
  REQUIRE(Test.runUntil([&] { return Spare.follows("first"); }));
  Spare.Choice_.Readers_.push_back(VmId("third"));
  auto Calls = Test.calls();
  Test.storeOf("first").Silent_ = true;
  Test.storeOf("second").Silent_ = true;
  CHECK(Test.runUntil([&] { return Spare.follows("third"); }));
  CHECK(Test.calls() == Calls);
}

TEST_CASE("a short outage of the service is waited for with the readers") {
  // Symptom: the service gets ten calls from each daemon of a fleet of hundreds
  // in the seconds in which it is away and comes back.
  // Sequence: all readers lose it for a moment, and have it back.
  // Cause: each follower looked for itself as soon as no reader had it.
  Fleet Test;
  FollowingDaemon &Spare = Test["spare"];
  REQUIRE(Test.runUntil([&] { return Spare.follows("first"); }));
  auto Calls = Test.calls();
  for (const char *Name : {"first", "second", "third"})
    Test.storeOf(Name).FailWith_ = 503;
  bool Lost = Test.runUntil([&] { return !Spare.Peers_->reader(); });
  for (const char *Name : {"first", "second", "third"})
    Test.storeOf(Name).FailWith_ = 0;
  CHECK(Lost);
  CHECK(Test.runUntil([&] { return Spare.Peers_->reader().has_value(); }));
  CHECK(Spare.Service_->paused());
  CHECK(Test.calls() == Calls);
  // A longer one is not: some only seem to be the service's.
  for (const char *Name : {"first", "second", "third"})
    Test.storeOf(Name).FailWith_ = 503;
  CHECK(Test.runUntil([&] { return !Spare.Service_->paused(); }));
}

TEST_CASE("a reader that is behind brings no leaving server back") {
  Fleet Test;
  FollowingDaemon &Spare = Test["spare"];
  REQUIRE(Test.runUntil([&] { return Spare.follows("first"); }));
  // The second one's store is partitioned: it knows nothing of the change.
  Test.storeOf("first").put("servers/i-1", serverEntry("draining"));
  REQUIRE(Test.runUntil([&] { return !Spare.isActive("i-1"); }));
  Test.Frozen_.insert("first");
  Test.SpareStore_.FailWith_ = 503;
  Test.runFor(milliseconds(400));
  CHECK_FALSE(Spare.isActive("i-1"));
  CHECK_FALSE(Spare.follows("second"));
}

TEST_CASE("a change that was lost on its way comes with the next answer") {
  Fleet Test;
  FollowingDaemon &Spare = Test["spare"];
  REQUIRE(Test.runUntil([&] { return Spare.follows("first"); }));
  Test.LosePushes_ = 1;
  Test.put("servers/i-2", serverEntry("ready"));
  REQUIRE(Test.runUntil([&] { return Test["first"].isActive("i-2"); }));
  Test.put("servers/i-3", serverEntry("ready"));
  CHECK(Test.runUntil(
      [&] { return Spare.isActive("i-2") && Spare.isActive("i-3"); }));
}

TEST_CASE("servers that lapse in an outage stay, also for followers") {
  Fleet Test;
  FollowingDaemon &Spare = Test["spare"];
  REQUIRE(Test.runUntil([&] { return Spare.follows("first"); }));
  for (const char *Name : {"first", "second"})
    Test.storeOf(Name).FailWith_ = 503;
  Test.SpareStore_.FailWith_ = 503;
  REQUIRE(Test.runUntil([&] { return !Spare.Service_->paused(); }));
  Test.runFor(milliseconds(100));
  for (const char *Name : {"first", "second"}) {
    Test.storeOf(Name).remove("servers/i-1");
    Test.storeOf(Name).FailWith_ = 0;
  }
  Test.SpareStore_.remove("servers/i-1");
  Test.SpareStore_.FailWith_ = 0;
  REQUIRE(Test.runUntil([&] { return Spare.Service_->paused(); }));
  CHECK(Spare.isActive("i-1"));
  // Back within the time allowed.
  Test.put("servers/i-1", serverEntry("ready"));
  Test.runFor(milliseconds(300));
  CHECK(Spare.isActive("i-1"));
}

TEST_CASE("a daemon of a small fleet that lost the service hears of a leaving "
          "server from others, and reads the service again when it is back") {
  // Symptom: one daemon sends work to a server that left, or refuses all keys,
  // while the others are well.
  // Sequence: the service turns one daemon away; a server begins to leave.
  // Cause: it asked only the service.
  Fleet Test(true);
  FollowingDaemon &Spare = Test["spare"];
  REQUIRE(Test.runUntil([&] { return Spare.isActive("i-1"); }));
  Test.SpareStore_.FailWith_ = 503;
  for (const char *Name : {"first", "second"})
    Test.storeOf(Name).put("servers/i-1", serverEntry("draining"));
  CHECK(Test.runUntil([&] { return !Spare.isActive("i-1"); }));
  Test.runFor(Lease + milliseconds(300));
  CHECK(Spare.Freshness_.valid(BootClock::now()));
  // The balancer had better send callers elsewhere.
  CHECK_FALSE(Spare.Peers_->inTouch());
  Test.SpareStore_.FailWith_ = 0;
  CHECK(Test.runUntil([&] { return Spare.Peers_->inTouch(); }));
  CHECK(Test.runUntil([&] { return !Spare.Peers_->reader(); }));
}

TEST_CASE("a daemon that starts while the service turns it away gets the "
          "configuration from others") {
  Fleet Test(true);
  REQUIRE(Test.runUntil([&] { return Test["first"].isActive("i-1"); }));
  Test.SpareStore_.FailWith_ = 503;
  Test.startSpare();
  CHECK(Test.runUntil([&] {
    return Test["spare"].version() == DocumentVersion(3) &&
           Test["spare"].isActive("i-1");
  }));
}

TEST_CASE(
    "a pause of this process is not taken for the silence of its reader") {
  // Symptom: beside a large configuration daemons leave readers that run, and
  // after two of them read the whole of the service, over links that are full.
  // Sequence: a daemon asks its reader and gets no processor for longer than an
  // answer may take; the answer lies unread when it goes on.
  // Cause: the timer is due in the turn in which the length of the answer's
  // frame is read, and its handler comes before the frame's bytes.
  LoneFollower Test;
  REQUIRE(Test.runUntil([&] { return Test.Self_->follows("first"); }));
  int Before = Test.Questions_["first"];
  Test.NextPause_ = milliseconds(60);
  REQUIRE(Test.runUntil([&] { return Test.Questions_["first"] > Before + 2; }));
  CHECK(Test.NextPause_.count() == 0);
  CHECK(Test.Questions_["second"] == 0);
  CHECK(Test.Self_->follows("first"));
}

TEST_CASE("a server that is removed while the readers are behind is gone for "
          "a daemon that reads the service itself") {
  // Symptom: requests are sent to a server seconds after the service said that
  // it is gone.
  // Sequence: both readers hear nothing of the service for a moment; a server
  // is removed; the daemon that follows them turns to the service, which
  // answers it at once.
  // Cause: old answers of two readers were taken for an outage of the service.
  Fleet Test;
  FollowingDaemon &Spare = Test["spare"];
  REQUIRE(Test.runUntil([&] { return Spare.follows("first"); }));
  REQUIRE(Spare.isActive("i-1"));
  auto Watches = Test.SpareStore_.calls("/-/kv-watch");
  Test.SpareStore_.remove("servers/i-1");
  for (const char *Name : {"first", "second"})
    Test.storeOf(Name).Silent_ = true;
  REQUIRE(Test.runUntil(
      [&] { return Test.SpareStore_.calls("/-/kv-watch") > Watches; }));
  CHECK_FALSE(Spare.isActive("i-1"));
}

TEST_CASE("a large configuration comes in small messages") {
  // Symptom: daemons on slow links never get a large configuration, and leave
  // one reader for another.
  // Sequence: a configuration of a megabyte is written; its readers tell it.
  // Cause: all of it came in one message, longer than an answer may take, and
  // nothing else got through meanwhile.
  Fleet Test;
  FollowingDaemon &Spare = Test["spare"];
  REQUIRE(Test.runUntil([&] { return Spare.follows("first"); }));
  Test.put("op/config", largeConfiguration(5, 1000000));
  CHECK(Test.runUntil([&] { return Spare.version() == DocumentVersion(5); }));
  constexpr std::size_t TellsOfAll = 32 * 1024;
  CHECK(Test.LongestMessage_ < TellsOfAll);
}

TEST_CASE("of a configuration that changed a little, little is sent") {
  Fleet Test;
  FollowingDaemon &Spare = Test["spare"];
  REQUIRE(Test.runUntil([&] { return Spare.follows("first"); }));
  Test.SpareStore_.FailWith_ = 503;
  Test.put("op/config", largeConfiguration(5, 300000));
  REQUIRE(Test.runUntil([&] { return Spare.version() == DocumentVersion(5); }));
  // Digits are half of what they are written as.
  CHECK(Test.PackedSize_ > 100000);
  Test.put("op/config", largeConfiguration(6, 300000));
  REQUIRE(Test.runUntil([&] { return Spare.version() == DocumentVersion(6); }));
  CHECK(Test.PackedSize_ < 1000);
}

TEST_CASE("while a configuration's text does not come, servers that leave are "
          "heard of, and the old one does not count as fresh") {
  // Symptom: a key that was taken away works for longer than the bound.
  // Sequence: the reader has a new configuration; its text stays out, and its
  // answers come as always.
  // Cause: an answer of a reader was taken for a confirmation of what is in
  // force here, though the reader had a newer one.
  Fleet Test;
  FollowingDaemon &Spare = Test["spare"];
  REQUIRE(Test.runUntil([&] { return Spare.follows("first"); }));
  REQUIRE(Test.loseTextOf(5));
  Test.put("servers/i-1", serverEntry("draining"));
  CHECK(Test.runUntil([&] { return !Spare.isActive("i-1"); }));
  CHECK(
      Test.runUntil([&] { return !Spare.Freshness_.valid(BootClock::now()); }));
  CHECK(Spare.version() == DocumentVersion(3));
  Test.LoseParts_ = false;
  CHECK(Test.runUntil([&] { return Spare.version() == DocumentVersion(5); }));
  CHECK(
      Test.runUntil([&] { return Spare.Freshness_.valid(BootClock::now()); }));
}

TEST_CASE("a text that comes wrong is asked for again, and not put in force") {
  Fleet Test;
  FollowingDaemon &Spare = Test["spare"];
  REQUIRE(Test.runUntil([&] { return Spare.follows("first"); }));
  Test.SpareStore_.FailWith_ = 503;
  Test.SpoilParts_ = 1;
  Test.put("op/config", largeConfiguration(5, 100000));
  CHECK(Test.runUntil([&] { return Spare.version() == DocumentVersion(5); }));
  CHECK(Test.SpoilParts_ == 0);
}

TEST_CASE("the text comes from the next reader when the first one freezes in "
          "the middle of it") {
  Fleet Test;
  FollowingDaemon &Spare = Test["spare"];
  REQUIRE(Test.runUntil([&] { return Spare.follows("first"); }));
  Test.SpareStore_.FailWith_ = 503;
  Test.put("op/config", largeConfiguration(5, 300000));
  REQUIRE(Test.runUntil([&] { return Test.Parts_ >= 2; }));
  REQUIRE(Spare.version() == DocumentVersion(3));
  Test.Frozen_.insert("first");
  CHECK(Test.runUntil([&] { return Spare.version() == DocumentVersion(5); }));
  CHECK(Test.runUntil([&] { return Spare.follows("second"); }));
}

TEST_CASE("a newer configuration takes the place of one that is under way") {
  Fleet Test;
  FollowingDaemon &Spare = Test["spare"];
  REQUIRE(Test.runUntil([&] { return Spare.follows("first"); }));
  Test.SpareStore_.FailWith_ = 503;
  Test.put("op/config", largeConfiguration(5, 300000));
  REQUIRE(Test.runUntil([&] { return Test.Parts_ >= 2; }));
  Test.LoseParts_ = true;
  Test.put("op/config", largeConfiguration(6, 300000));
  for (const char *Name : {"first", "second"})
    REQUIRE(Test.runUntil(
        [&] { return Test[Name].version() == DocumentVersion(6); }));
  Test.LoseParts_ = false;
  CHECK(Test.runUntil([&] { return Spare.version() > DocumentVersion(3); }));
  CHECK(Spare.version() == DocumentVersion(6));
}

TEST_CASE("a configuration comes among the changes where one daemon is of an "
          "earlier version") {
  // Symptom: beside a rolling replacement, new daemons stay at the old
  // configuration.
  // Sequence: a daemon that asks for texts follows one that can't tell them, or
  // the other way round.
  // Cause: the text was left out of the changes for one that does not ask.
  Fleet Test;
  Test.Mixed_ = true;
  FollowingDaemon &Spare = Test["spare"];
  REQUIRE(Test.runUntil([&] { return Spare.follows("first"); }));
  Test.SpareStore_.FailWith_ = 503;
  Test.put("op/config", largeConfiguration(5, 100000));
  CHECK(Test.runUntil([&] { return Spare.version() == DocumentVersion(5); }));
  CHECK(Test.Parts_ == 0);
  Test.runFor(Lease + milliseconds(300));
  CHECK(Spare.Freshness_.valid(BootClock::now()));
  // The earlier one was replaced.
  Test.Mixed_ = false;
  REQUIRE(Test.runUntil([&] { return Test.AskedApart_ > 0; }));
  Test.put("op/config", largeConfiguration(6, 100000));
  CHECK(Test.runUntil([&] { return Spare.version() == DocumentVersion(6); }));
  CHECK(Test.Parts_ > 0);
}

TEST_CASE("a daemon that knows a large configuration follows a reader whose "
          "link can't carry it in the time that an answer may take") {
  // Symptom: once a large configuration is in force, links of 10 Mbit/s stay
  // full for as long as the fleet runs; daemons behind them seem dead, and
  // hardly any daemon follows another one.
  // Sequence: a configuration of 2,000 routes is in force everywhere. Nothing
  // changes any more. A follower asks a reader that it did not follow last,
  // over a link that needs some 200 ms for that much; an answer may take 40.
  // Cause: a reader tells whoever did not follow it last all that it
  // believes. The answer comes too late and is dropped, the next reader is
  // asked the same, then the service, and so on for ever.
  constexpr std::size_t Routes = 2000;
  constexpr std::size_t SlowLink = 1000;
  const std::string Large = configuration(5, Routes);
  Fleet Test;
  FollowingDaemon &Spare = Test["spare"];
  REQUIRE(Test.runUntil([&] { return Spare.follows("first"); }));
  Test.put("op/config", Large);
  REQUIRE(Test.runUntil([&] {
    return std::ranges::all_of(Test.Daemons_, [](const auto &Item) {
      return Item.second->version() == DocumentVersion(5);
    });
  }));
  for (const char *Name : {"first", "second"})
    Test.BytesPerMs_[Name] = SlowLink;
  Test.Frozen_.insert("first");
  // Long enough for one answer of everything, and for many questions.
  Test.runFor(milliseconds(500));
  CHECK(Spare.Service_->paused());
  // Nothing has changed: next to nothing is to be told, and nobody need ask
  // the service. The frozen reader is asked again now and then, in between.
  auto Calls = Test.calls();
  Test.Sent_.clear();
  Test.runFor(milliseconds(500));
  CHECK(Test.Sent_["second"] < Large.size());
  CHECK(Test.calls() == Calls);
  CHECK(Spare.Service_->paused());
}

// Links stay full for good: whoever changes its reader is told the whole
// directory, later than an answer may come.
TEST_CASE("a daemon that knows a large directory follows another reader over a "
          "slow link, and is told next to nothing") {
  constexpr std::size_t SlowLink = 1000;
  constexpr std::size_t MostTold = 20000;
  Fleet Test;
  FollowingDaemon &Spare = Test["spare"];
  REQUIRE(Test.runUntil([&] { return Spare.follows("first"); }));
  Test.putServers(1000);
  REQUIRE(Test.runUntil([&] {
    return std::ranges::all_of(Test.Daemons_, [](const auto &Item) {
      return Item.second->isActive("i-999");
    });
  }));
  Test.runFor(milliseconds(300));
  for (const char *Name : {"first", "second"})
    Test.BytesPerMs_[Name] = SlowLink;
  auto Calls = Test.calls();
  Test.Sent_.clear();
  Test.Frozen_.insert("first");
  Test.runFor(milliseconds(500));
  CHECK(Spare.Service_->paused());
  CHECK(Test.runUntil([&] { return Spare.follows("second"); }));
  CHECK(Test.Sent_["second"] < MostTold);
  CHECK(Test.calls() == Calls);
  // What changes after that is told alone.
  Test.put("servers/i-500", serverEntry("draining"));
  CHECK(Test.runUntil([&] { return !Spare.isActive("i-500"); }));
  CHECK(Test.Sent_["second"] < MostTold);
}

// A daemon on a weak link never gets the directory: it comes too late.
TEST_CASE("a large directory is told packed to one that has nothing of it") {
  constexpr std::size_t MostTold = 60000;
  Fleet Test;
  Test.putServers(1000);
  REQUIRE(Test.runUntil([&] { return Test["first"].isActive("i-999"); }));
  Test.SpareStore_.FailWith_ = 503;
  Test.Sent_.clear();
  Test.startSpare();
  FollowingDaemon &Spare = Test["spare"];
  Spare.Choice_.Role_ = StoreRole::Alone;
  CHECK(Test.runUntil([&] { return Spare.isActive("i-999"); }));
  CHECK(Test.LongestMessage_ < MostTold);
}
