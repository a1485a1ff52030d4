/// \file
/// Tests of a daemon that follows other daemons instead of the platform's
/// store, while these work, are frozen, are behind or have lost the store
/// themselves.

#include "UnitTests/LogCapture.h"
#include "UnitTests/platform/FollowerFleet.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

using namespace samphireshunt;
using namespace samphireshunt::tests;

namespace {
/// With this slowdown responses may take 160 ms, which is longer than a busy
/// machine stops a process.
constexpr int SlowdownFactor = 4;
} // namespace

TEST_CASE(
    "a daemon that follows another receives all changes and does not call "
    "the service") {
  Fleet Test(/*Small=*/false, SlowdownFactor);
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
  // Longer than the lease, which the reader's confirmations renew.
  Test.runFor(Lease + milliseconds(300));
  CHECK(Spare.Freshness_.valid(BootClock::now()));
  CHECK(Test.calls() == Calls);
}

TEST_CASE("a follower's state is confirmed by a later call of its reader as "
          "soon as that is wanted") {
  // Guards against a stream that goes on by a list that its reader asked for
  // before, and against one that waits for the reader's own next call.
  constexpr int Slow = 50;
  constexpr milliseconds ReaderInterval = Slow * milliseconds(40);
  Fleet Test(/*Small=*/false, Slow);
  FollowingDaemon &Spare = Test["spare"];
  REQUIRE(Test.runUntil([&] { return Spare.follows("first"); }));
  auto Calls = Test.calls();
  FakeStore &Store = Test.storeOf("first");
  auto Before = Store.calls("/-/kv-range");
  BootTime Wanted = BootClock::now();
  CHECK(Test.runUntil([&] {
    Spare.Peers_->confirmSoon();
    return Spare.Freshness_.confirmedAt() >= Wanted;
  }));
  CHECK(BootClock::now() - Wanted < ReaderInterval);
  CHECK(Store.calls("/-/kv-range") > Before);
  CHECK(Test.calls() == Calls);
}

TEST_CASE("a reader that freezes is left within two requests") {
  // The reader that a daemon follows freezes, and a server begins to leave. If
  // the daemon did not turn to another reader, it would not be notified and
  // would send work to the server long after it began to leave.
  Fleet Test(/*Small=*/false, SlowdownFactor);
  FollowingDaemon &Spare = Test["spare"];
  REQUIRE(Test.runUntil([&] { return Spare.follows("first"); }));
  Test.Frozen_.insert("first");
  Test.put("servers/i-1", serverEntry("draining"));
  CHECK(Test.runUntil([&] { return !Spare.isActive("i-1"); }));
  CHECK(Spare.follows("second"));
}

TEST_CASE("a daemon that becomes a reader confirms at once that it has the "
          "service") {
  // A daemon that read the service only for itself is chosen as a reader. If
  // its next confirmation waited for the end of its earlier, longer pause, its
  // followers would conclude that it had lost the service. When a fleet starts
  // or readers are replaced, all followers would then read the service
  // themselves for seconds.
  Fleet Test;
  FollowingDaemon &Spare = Test["spare"];
  REQUIRE(Test.runUntil([&] { return Spare.follows("first"); }));
  auto Calls = Test.calls();
  // The first confirmation of a daemon that reads only for itself would come
  // within this time.
  Test.runFor(milliseconds(300));
  CHECK(Spare.follows("first"));
  CHECK(Test.calls() == Calls);
}

TEST_CASE("a reader that answers is followed for a while, though another one "
          "would be chosen by now") {
  // During a burst the view of the members flaps, and with it the best reader.
  // If the reader were chosen again for each request, daemons on slow links
  // would repeatedly get the whole directory of servers.
  Fleet Test;
  FollowingDaemon &Spare = Test["spare"];
  REQUIRE(Test.runUntil([&] { return Spare.follows("first"); }));
  std::ranges::reverse(Spare.Choice_.Readers_);
  Test.runFor(milliseconds(150));
  CHECK(Spare.follows("first"));
  CHECK(Test.runUntil([&] { return Spare.follows("second"); }));
  // A reader that may not be followed any more is left at once.
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
  // A reader is cut off from the service while its followers go on sending
  // requests. If its responses counted as confirmations whatever the age of its
  // state, a revoked key would work for longer than the bound.
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

TEST_CASE("readers that have lost the service are skipped until one has it") {
  // The service rejects the calls of two of three readers, and these report
  // that when they get a request. If a follower gave up after two attempts,
  // although each takes no time, all followers would read the service
  // themselves, with hundreds of calls per second.
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

TEST_CASE("a reader that is behind does not bring a leaving server back") {
  Fleet Test;
  FollowingDaemon &Spare = Test["spare"];
  REQUIRE(Test.runUntil([&] { return Spare.follows("first"); }));
  // The store of the second reader is partitioned and lacks the change.
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
  Test.DropPushes_ = 1;
  Test.put("servers/i-2", serverEntry("ready"));
  REQUIRE(Test.runUntil([&] { return Test["first"].isActive("i-2"); }));
  Test.put("servers/i-3", serverEntry("ready"));
  CHECK(Test.runUntil(
      [&] { return Spare.isActive("i-2") && Spare.isActive("i-3"); }));
}

TEST_CASE("servers that expire in an outage stay, also for followers") {
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
  // The server registers again within the time that it has after an outage.
  Test.put("servers/i-1", serverEntry("ready"));
  Test.runFor(milliseconds(300));
  CHECK(Spare.isActive("i-1"));
}

TEST_CASE("a part of a small fleet that was cut off learns from the others "
          "which servers are gone") {
  // Guards against daemons that heard each other while they were cut off, and
  // take that for an outage of the service: they send requests to servers that
  // left. After such an outage live servers are missing too, and must stay.
  for (bool ServiceAway : {false, true}) {
    CAPTURE(ServiceAway);
    Fleet Test(/*Small=*/true, /*Slowdown=*/1,
               [](StoreDaemon::Settings &Wanted) {
                 Wanted.Times_.RegisterAgain_ = std::chrono::hours(1);
               });
    FollowingDaemon &Spare = Test["spare"];
    REQUIRE(Test.runUntil([&] {
      return Spare.isActive("i-1") && Test["first"].isActive("i-1") &&
             Test["second"].isActive("i-1");
    }));
    if (!ServiceAway)
      Test.Frozen_ = {"second", "third"};
    std::vector<FakeStore *> Lost = {&Test.SpareStore_, &Test.storeOf("first")};
    if (ServiceAway)
      Lost.push_back(&Test.storeOf("second"));
    for (FakeStore *Store : Lost)
      Store->FailWith_ = 503;
    REQUIRE(Test.runUntil([&] {
      return !Spare.Service_->platformReachable() &&
             !Test["first"].Service_->platformReachable() &&
             Test["second"].Service_->platformReachable() != ServiceAway;
    }));
    Test.remove("servers/i-1");
    // Not known to "spare", so that all of what others know is told to it.
    for (const char *Name : {"first", "second", "third"})
      Test.storeOf(Name).put("servers/i-2", serverEntry("ready"));
    CHECK(Test.runUntil(
        [&] { return Test["second"].isActive("i-1") == ServiceAway; }));
    for (FakeStore *Store : Lost)
      Store->FailWith_ = 0;
    Test.Frozen_.clear();
    if (!ServiceAway) {
      CHECK(Test.runUntil([&] { return !Spare.isActive("i-1"); }));
      continue;
    }
    REQUIRE(Test.runUntil([&] { return Spare.View_.retainsMissing(); }));
    Test.runFor(milliseconds(300));
    CHECK(Spare.isActive("i-1"));
    Test.put("servers/i-1", serverEntry("ready"));
    CHECK(Test.runUntil([&] { return !Spare.View_.retainsMissing(); }));
    CHECK(Spare.isActive("i-1"));
  }
}

TEST_CASE("a daemon of a small fleet that lost the service learns of a leaving "
          "server from others, and reads the service again when it is back") {
  // The service rejects the calls of one daemon, and a server begins to leave.
  // If the daemon used no other source, it would send work to the server that
  // left or refuse all keys while the other daemons work.
  Fleet Test(true);
  FollowingDaemon &Spare = Test["spare"];
  REQUIRE(Test.runUntil([&] { return Spare.isActive("i-1"); }));
  Test.SpareStore_.FailWith_ = 503;
  for (const char *Name : {"first", "second"})
    Test.storeOf(Name).put("servers/i-1", serverEntry("draining"));
  CHECK(Test.runUntil([&] { return !Spare.isActive("i-1"); }));
  Test.runFor(Lease + milliseconds(300));
  CHECK(Spare.Freshness_.valid(BootClock::now()));
  // The load balancer should prefer other daemons for callers.
  CHECK_FALSE(Spare.Peers_->hasSource());
  Test.SpareStore_.FailWith_ = 0;
  CHECK(Test.runUntil([&] { return Spare.Peers_->hasSource(); }));
  CHECK(Test.runUntil([&] { return !Spare.Peers_->reader(); }));
}

TEST_CASE("a daemon that starts while the service rejects its calls gets the "
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

TEST_CASE("a pause of this process is not treated as silence of its reader") {
  // A daemon sends a request to its reader and then gets no processor for
  // longer than the response may take, so that the response is unread when it
  // continues. The timer expires in the event-loop iteration in which the
  // length of the response's frame is read, and its handler runs before the
  // frame's bytes are read. With a large configuration daemons would thus leave
  // working readers and, after two of them, read everything from the service
  // over saturated links.
  LoneFollower Test;
  REQUIRE(Test.runUntil([&] { return Test.Self_->follows("first"); }));
  int Before = Test.Requests_["first"];
  Test.NextPause_ = milliseconds(60);
  REQUIRE(Test.runUntil([&] { return Test.Requests_["first"] > Before + 2; }));
  CHECK(Test.NextPause_.count() == 0);
  CHECK(Test.Requests_["second"] == 0);
  CHECK(Test.Self_->follows("first"));
}

TEST_CASE("a server that is removed while the readers are behind is gone for "
          "a daemon that reads the service itself") {
  // Both readers get nothing from the service for a moment, and a server is
  // removed. The daemon that follows them turns to the service, which answers
  // at once. If the outdated responses of two readers counted as an outage of
  // the service, requests would be sent to the server seconds after the service
  // reported it gone.
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
  // Readers send a configuration of a megabyte. In a single message it would
  // take a slow link longer than a response may take and block everything else
  // meanwhile. Daemons on slow links would never get it and would change
  // readers repeatedly.
  Fleet Test;
  FollowingDaemon &Spare = Test["spare"];
  REQUIRE(Test.runUntil([&] { return Spare.follows("first"); }));
  Test.put("op/config", largeConfiguration(5, 1000000));
  CHECK(Test.runUntil([&] { return Spare.version() == DocumentVersion(5); }));
  constexpr std::size_t MaxMessage = 32 * 1024;
  CHECK(Test.MaxMessageSize_ < MaxMessage);
}

TEST_CASE("little is sent of a configuration that changed a little") {
  Fleet Test;
  FollowingDaemon &Spare = Test["spare"];
  REQUIRE(Test.runUntil([&] { return Spare.follows("first"); }));
  Test.SpareStore_.FailWith_ = 503;
  Test.put("op/config", largeConfiguration(5, 300000));
  REQUIRE(Test.runUntil([&] { return Spare.version() == DocumentVersion(5); }));
  // Packing halves the size of random hexadecimal digits.
  CHECK(Test.PackedSize_ > 100000);
  Test.put("op/config", largeConfiguration(6, 300000));
  REQUIRE(Test.runUntil([&] { return Spare.version() == DocumentVersion(6); }));
  CHECK(Test.PackedSize_ < 1000);
}

TEST_CASE("while a configuration's text does not come, servers that leave are "
          "reported, and the old one does not count as fresh") {
  // The reader has a new configuration whose text does not arrive, while its
  // responses do. If they confirmed the configuration that is active here
  // although the reader has a newer one, a revoked key would work for longer
  // than the bound.
  Fleet Test;
  FollowingDaemon &Spare = Test["spare"];
  REQUIRE(Test.runUntil([&] { return Spare.follows("first"); }));
  REQUIRE(Test.dropTextOf(5));
  Test.put("servers/i-1", serverEntry("draining"));
  CHECK(Test.runUntil([&] { return !Spare.isActive("i-1"); }));
  CHECK(
      Test.runUntil([&] { return !Spare.Freshness_.valid(BootClock::now()); }));
  CHECK(Spare.version() == DocumentVersion(3));
  Test.DropChunks_ = false;
  CHECK(Test.runUntil([&] { return Spare.version() == DocumentVersion(5); }));
  CHECK(
      Test.runUntil([&] { return Spare.Freshness_.valid(BootClock::now()); }));
}

TEST_CASE("a corrupt text is requested again, and not activated") {
  Fleet Test;
  FollowingDaemon &Spare = Test["spare"];
  REQUIRE(Test.runUntil([&] { return Spare.follows("first"); }));
  Test.SpareStore_.FailWith_ = 503;
  Test.CorruptChunks_ = 1;
  Test.put("op/config", largeConfiguration(5, 100000));
  CHECK(Test.runUntil([&] { return Spare.version() == DocumentVersion(5); }));
  CHECK(Test.CorruptChunks_ == 0);
}

TEST_CASE("the text comes from the next reader when the first one freezes in "
          "the middle of it") {
  Fleet Test;
  FollowingDaemon &Spare = Test["spare"];
  REQUIRE(Test.runUntil([&] { return Spare.follows("first"); }));
  Test.SpareStore_.FailWith_ = 503;
  Test.put("op/config", largeConfiguration(5, 300000));
  REQUIRE(Test.runUntil([&] { return Test.DeliveredChunks_ >= 2; }));
  REQUIRE(Spare.version() == DocumentVersion(3));
  Test.Frozen_.insert("first");
  CHECK(Test.runUntil([&] { return Spare.version() == DocumentVersion(5); }));
  CHECK(Test.runUntil([&] { return Spare.follows("second"); }));
}

TEST_CASE("a newer configuration replaces one that is being transferred") {
  Fleet Test;
  FollowingDaemon &Spare = Test["spare"];
  REQUIRE(Test.runUntil([&] { return Spare.follows("first"); }));
  Test.SpareStore_.FailWith_ = 503;
  Test.put("op/config", largeConfiguration(5, 300000));
  REQUIRE(Test.runUntil([&] { return Test.DeliveredChunks_ >= 2; }));
  Test.DropChunks_ = true;
  Test.put("op/config", largeConfiguration(6, 300000));
  for (const char *Name : {"first", "second"})
    REQUIRE(Test.runUntil(
        [&] { return Test[Name].version() == DocumentVersion(6); }));
  Test.DropChunks_ = false;
  CHECK(Test.runUntil([&] { return Spare.version() > DocumentVersion(3); }));
  CHECK(Spare.version() == DocumentVersion(6));
}

TEST_CASE("a configuration in transfer comes in force before a newer one that "
          "takes longer, and counts as behind") {
  // Guards against texts that never arrive because the next ones replace them,
  // and against a daemon that takes the older one for the newest.
  constexpr std::size_t SlowLink = 500;
  Fleet Test(/*Small=*/false, SlowdownFactor,
             [](StoreDaemon::Settings &Wanted) {
               Wanted.CallTimeout_ = Endless;
               Wanted.Peers_.AnswerTimeout_ = Endless;
               Wanted.Peers_.MaxStateAge_ = Endless;
               Wanted.Peers_.ChunkTimeout_ = Endless;
             });
  FollowingDaemon &Spare = Test["spare"];
  REQUIRE(Test.runUntil([&] { return Spare.follows("first"); }));
  Test.SpareStore_.FailWith_ = 503;
  for (const char *Name : {"first", "second"})
    Test.BytesPerMs_[Name] = SlowLink;
  // Readers may take any time to adopt the newer text.
  Test.Holds_ = [&](const auto &) { return Test.DeliveredChunks_ >= 2; };
  Test.put("op/config", largeConfiguration(5, 200000));
  REQUIRE(Test.runUntil([&] { return Test.DeliveredChunks_ >= 2; }));
  Test.put("op/config", largeConfiguration(6, 600000));
  REQUIRE(
      Test.runUntil([&] { return Test.NamedVersion_ == DocumentVersion(6); }));
  REQUIRE(Spare.version() == DocumentVersion(3));
  // The older text alone arrives.
  Test.Holds_ = [](const auto &Part) { return Part.version == 6; };
  Test.releaseChunks();
  CHECK(Test.runUntil([&] { return Spare.version() > DocumentVersion(3); }));
  CHECK(Spare.version() == DocumentVersion(5));
  CHECK(Spare.Freshness_.behind(BootClock::now()) > milliseconds(0));
  Test.Holds_ = [](const auto &) { return false; };
  Test.releaseChunks();
  CHECK(Test.runUntil([&] { return Spare.version() == DocumentVersion(6); }));
  CHECK(Test.runUntil([&] {
    return Spare.Freshness_.behind(BootClock::now()) == milliseconds(0);
  }));
}

TEST_CASE("a configuration over the bound leaves the one in force, and the "
          "servers are followed") {
  // Guards against a bound that ends the service of all: the version in force
  // stays and gets old, and all else goes on.
  LogCapture Log;
  Fleet Test(/*Small=*/false, SlowdownFactor,
             [](StoreDaemon::Settings &Wanted) {
               Wanted.Peers_.MaxTextBytes_ = 50000;
             });
  FollowingDaemon &Spare = Test["spare"];
  REQUIRE(Test.runUntil([&] { return Spare.follows("first"); }));
  Test.SpareStore_.FailWith_ = 503;
  Test.put("op/config", largeConfiguration(5, 100000));
  CHECK(Test.runUntil(
      [&] { return Spare.Freshness_.overdue(BootClock::now()); }));
  CHECK(Spare.version() == DocumentVersion(3));
  Test.put("servers/i-1", serverEntry("draining"));
  CHECK(Test.runUntil([&] { return !Spare.isActive("i-1"); }));
  CHECK(Spare.follows("first"));
  // Once at each daemon.
  CHECK(Log.count("configuration-too-long") == Test.Daemons_.size());
  CHECK(Log.count("50000") == Test.Daemons_.size());
  // Another daemon's text would be the same.
  Spare.Peers_->onVersionAnnounced(VmId("third"), DocumentVersion(5));
  Test.runFor(milliseconds(200));
  CHECK(Log.count("asking-for-version") == 0);
  Test.put("op/config", configuration(6));
  CHECK(Test.runUntil([&] { return Spare.version() == DocumentVersion(6); }));
  CHECK(Test.runUntil(
      [&] { return !Spare.Freshness_.overdue(BootClock::now()); }));
}

TEST_CASE("a reader that announces a text and doesn't have it is passed over") {
  // Guards against a daemon that stays behind with a reader of a smaller bound,
  // while others have the text.
  int Made = 0;
  Fleet Test(/*Small=*/false, SlowdownFactor,
             [&Made](StoreDaemon::Settings &Wanted) {
               if (++Made == 1)
                 Wanted.Peers_.MaxTextBytes_ = 50000;
             });
  FollowingDaemon &Spare = Test["spare"];
  REQUIRE(Test.runUntil([&] { return Spare.follows("first"); }));
  Test.SpareStore_.FailWith_ = 503;
  Test.put("op/config", largeConfiguration(5, 100000));
  CHECK(Test.runUntil([&] { return Spare.version() == DocumentVersion(5); }));
}

TEST_CASE("an older text that arrives slowly holds off a newer one of another "
          "daemon for half of the time to apply it") {
  // Guards against a daemon behind a full link that doesn't ask for the newest
  // version, and then ignores the one that announced it.
  constexpr std::size_t SlowLink = 500;
  Fleet Test(/*Small=*/false, SlowdownFactor);
  FollowingDaemon &Spare = Test["spare"];
  REQUIRE(Test.runUntil([&] { return Spare.follows("first"); }));
  Test.SpareStore_.FailWith_ = 503;
  for (const char *Name : {"first", "second"})
    Test.BytesPerMs_[Name] = SlowLink;
  Test.put("op/config", largeConfiguration(5, 2000000));
  REQUIRE(Test.runUntil([&] { return Test.DeliveredChunks_ >= 2; }));
  Test.storeOf("third").put("op/config", configuration(6));
  REQUIRE(Test.runUntil(
      [&] { return Test["third"].version() == DocumentVersion(6); }));
  Spare.Peers_->onVersionAnnounced(VmId("third"), DocumentVersion(6));
  CHECK(Test.runUntil([&] { return Spare.version() > DocumentVersion(3); }));
  CHECK(Spare.version() == DocumentVersion(6));
}

TEST_CASE("a late chunk of the version in force doesn't make it count as "
          "behind") {
  LogCapture Log;
  Fleet Test;
  FollowingDaemon &Spare = Test["spare"];
  REQUIRE(Test.runUntil([&] { return Spare.follows("first"); }));
  REQUIRE(Test.dropTextOf(5));
  Spare.Peers_->onVersionAnnounced(VmId("third"), DocumentVersion(5));
  REQUIRE(Test.runUntil([&] { return Log.count("asking-for-version") > 0; }));
  Test.Frozen_.insert("third");
  Test.DropChunks_ = false;
  REQUIRE(Test.runUntil([&] { return Spare.version() == DocumentVersion(5); }));
  REQUIRE(Test.runUntil([&] {
    return Spare.Freshness_.behind(BootClock::now()) == milliseconds(0);
  }));
  wire::TextPartT Late;
  Late.version = 5;
  Late.size = 100;
  Late.packed_size = 100;
  Late.bytes = {1};
  Spare.Peers_->onTextChunk(VmId("third"), Late);
  CHECK(Spare.Freshness_.behind(BootClock::now()) == milliseconds(0));
}

TEST_CASE("a state over the bound is told apart, and the service is read") {
  LogCapture Log;
  Fleet Test(/*Small=*/false, /*Slowdown=*/1,
             [](StoreDaemon::Settings &Wanted) {
               Wanted.Peers_.MaxStateBytes_ = 1000;
             });
  Test.putServers(100);
  REQUIRE(Test.runUntil([&] { return Test["first"].isActive("i-99"); }));
  Test.SpareStore_.FailWith_ = 503;
  Test.startSpare();
  FollowingDaemon &Spare = Test["spare"];
  Spare.Choice_.Role_ = StoreRole::Alone;
  CHECK(Test.runUntil([&] { return Log.count("state-too-long") > 0; }));
  Test.runFor(milliseconds(200));
  // All readers send the same, and it changes in size.
  CHECK(Log.count("state-too-long") == 1);
  Test.put("servers/i-100", serverEntry("ready"));
  Test.runFor(milliseconds(200));
  CHECK(Log.count("state-too-long") == 1);
  CHECK_FALSE(Spare.isActive("i-99"));
  Test.SpareStore_.FailWith_ = 0;
  CHECK(Test.runUntil([&] { return Spare.isActive("i-99"); }));
}

TEST_CASE("a configuration comes among the changes where one daemon is of an "
          "earlier version") {
  // During a rolling replacement a daemon that requests separate texts follows
  // one that cannot send them, or the other way round. If the text were left
  // out of the changes for a daemon that does not request it, new daemons would
  // stay at the old configuration.
  Fleet Test;
  Test.Mixed_ = true;
  FollowingDaemon &Spare = Test["spare"];
  REQUIRE(Test.runUntil([&] { return Spare.follows("first"); }));
  Test.SpareStore_.FailWith_ = 503;
  Test.put("op/config", largeConfiguration(5, 100000));
  CHECK(Test.runUntil([&] { return Spare.version() == DocumentVersion(5); }));
  CHECK(Test.DeliveredChunks_ == 0);
  Test.runFor(Lease + milliseconds(300));
  CHECK(Spare.Freshness_.valid(BootClock::now()));
  // The daemon of the earlier version is replaced.
  Test.Mixed_ = false;
  REQUIRE(Test.runUntil([&] { return Test.SeparateTextRequests_ > 0; }));
  Test.put("op/config", largeConfiguration(6, 100000));
  CHECK(Test.runUntil([&] { return Spare.version() == DocumentVersion(6); }));
  CHECK(Test.DeliveredChunks_ > 0);
}

TEST_CASE("a daemon that has a large configuration follows a reader whose link "
          "can't transmit it in the time that a response may take") {
  // A configuration of 2,000 routes is active everywhere and nothing changes. A
  // follower sends a request to a reader that it did not follow last, over a
  // link that needs some 200 ms for the configuration, while a response may
  // take 40 ms. If a reader sent its whole state to every new follower, the
  // response would miss its deadline and be dropped. The follower would request
  // the same of the next reader, then of the service, and so on without end.
  // Links of 10 Mbit/s would stay saturated as long as the fleet runs, daemons
  // behind them would seem dead, and hardly any daemon would follow another
  // one.
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
  // Long enough for a response with the whole state and for many requests.
  Test.runFor(milliseconds(500));
  CHECK(Spare.Service_->paused());
  // Nothing has changed, so that responses should be almost empty and no daemon
  // should call the service. The frozen reader gets a request from time to
  // time.
  auto Calls = Test.calls();
  Test.Sent_.clear();
  Test.runFor(milliseconds(500));
  CHECK(Test.Sent_["second"] < Large.size());
  CHECK(Test.calls() == Calls);
  CHECK(Spare.Service_->paused());
}

// If a daemon got the whole directory from each new reader, the response would
// miss its deadline on a slow link, and links would stay saturated for good.
TEST_CASE("a daemon that has a large directory follows another reader over a "
          "slow link, and gets almost no data") {
  constexpr std::size_t SlowLink = 1000;
  constexpr std::size_t MaxSent = 20000;
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
  CHECK(Test.Sent_["second"] < MaxSent);
  CHECK(Test.calls() == Calls);
  // A later change is sent alone.
  Test.put("servers/i-500", serverEntry("draining"));
  CHECK(Test.runUntil([&] { return !Spare.isActive("i-500"); }));
  CHECK(Test.Sent_["second"] < MaxSent);
}

// Without packing a daemon on a slow link would never get the whole directory,
// as the response would miss its deadline.
TEST_CASE("a large directory is sent packed to a daemon that has none of it") {
  constexpr std::size_t MaxSent = 60000;
  Fleet Test;
  Test.putServers(1000);
  REQUIRE(Test.runUntil([&] { return Test["first"].isActive("i-999"); }));
  Test.SpareStore_.FailWith_ = 503;
  Test.Sent_.clear();
  Test.startSpare();
  FollowingDaemon &Spare = Test["spare"];
  Spare.Choice_.Role_ = StoreRole::Alone;
  CHECK(Test.runUntil([&] { return Spare.isActive("i-999"); }));
  CHECK(Test.MaxMessageSize_ < MaxSent);
}

// What a version says that the reader can't hold is unknown to its followers
// too: they must not serve by the one that it replaced.
TEST_CASE("followers of a reader that cannot hold a configuration know that "
          "theirs is replaced, and go on following it") {
  constexpr std::size_t MaxHeld = 20000;
  Fleet Test(/*Small=*/false, SlowdownFactor, [](StoreDaemon::Settings &Built) {
    Built.Limits_.MaxValueBytes_ = MaxHeld;
  });
  FollowingDaemon &Spare = Test["spare"];
  REQUIRE(Test.runUntil([&] { return Spare.follows("first"); }));
  REQUIRE(Test.runUntil([&] { return Spare.version() == DocumentVersion(3); }));
  auto IsOverdue = [&] { return Spare.Freshness_.overdue(BootClock::now()); };
  CHECK_FALSE(IsOverdue());
  Test.put("op/config", largeConfiguration(5, 2 * MaxHeld));
  CHECK(Test.runUntil(IsOverdue));
  Test.put("servers/i-1", serverEntry("draining"));
  CHECK(Test.runUntil([&] { return !Spare.isActive("i-1"); }));
  CHECK(Spare.follows("first"));
  CHECK(Spare.version() == DocumentVersion(3));
  CHECK(IsOverdue());
  Test.put("op/config", configuration(6));
  CHECK(Test.runUntil([&] { return Spare.version() == DocumentVersion(6); }));
  CHECK(Test.runUntil([&] { return !IsOverdue(); }));
}
