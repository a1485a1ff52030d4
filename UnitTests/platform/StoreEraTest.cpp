/// \file
/// The platform's store comes back from a copy that is some seconds old: what
/// daemons that read it, and those that follow them, go on believing.

#include "UnitTests/platform/FollowerFleet.h"

#include "UnitTests/LogCapture.h"

#include <doctest/doctest.h>

using namespace samphireshunt;
using namespace samphireshunt::tests;

namespace {

const std::vector<std::string> Everybody = {"first", "second", "third",
                                            "spare"};

/// A fleet in calm: the spare daemon follows the first one.
class CopyFleet : public Fleet {
public:
  CopyFleet() {
    REQUIRE(runUntil([&] { return (*this)["spare"].follows("first"); }));
    REQUIRE(everybody([](FollowingDaemon &Daemon) {
      return Daemon.isActive("i-1") && Daemon.Service_->registered();
    }));
  }
  /// Runs until it is so at each daemon. \returns whether it is.
  bool everybody(const std::function<bool(FollowingDaemon &)> &IsSo) {
    return runUntil([&] {
      return std::ranges::all_of(Everybody, [&](const std::string &Name) {
        return IsSo((*this)[Name]);
      });
    });
  }
  bool nobody(const std::function<bool(FollowingDaemon &)> &IsSo) {
    return std::ranges::none_of(Everybody, [&](const std::string &Name) {
      return IsSo((*this)[Name]);
    });
  }
  bool allInEra(std::uint64_t Era) {
    return everybody([Era](FollowingDaemon &Daemon) {
      return Daemon.View_.position().Era_ == StoreEra(Era);
    });
  }
  bool allHave(int Version) {
    return everybody([Version](FollowingDaemon &Daemon) {
      return Daemon.version() ==
             DocumentVersion(static_cast<std::uint64_t>(Version));
    });
  }
  /// All have a version that the copy lacks from which the store comes back.
  /// \returns whether all had it.
  bool loseVersion(int Version) {
    takeCopies();
    put("op/config", configuration(Version));
    bool All = allHave(Version);
    restoreCopies();
    return All;
  }
};

bool isFresh(FollowingDaemon &Daemon) {
  return Daemon.Freshness_.valid(BootClock::now());
}

} // namespace

// The copy's configuration comes into force, and keys work again.
TEST_CASE("a version that the copy lacks stays in force, and is confirmed only "
          "once it is written again") {
  CopyFleet Test;
  REQUIRE(Test.loseVersion(5));
  auto Lists = Test.SpareStore_.calls("/-/kv-range");
  REQUIRE(Test.allInEra(1));
  CHECK(
      Test.everybody([](FollowingDaemon &Daemon) { return !isFresh(Daemon); }));
  CHECK(Test.allHave(5));
  CHECK(Test["spare"].Service_->paused());
  Test.put("op/config", configuration(5));
  CHECK(Test.everybody(isFresh));
  CHECK(Test.allHave(5));
  CHECK(Test.SpareStore_.calls("/-/kv-range") == Lists);
}

// A newer version that nobody here has heard of is taken for impossible.
TEST_CASE(
    "a version that the copy holds is confirmed when it is written again, "
    "or after a while") {
  CopyFleet Test;
  Test.takeCopies();
  Test.put("servers/i-2", serverEntry("ready"));
  REQUIRE(Test.runUntil([&] { return Test["first"].isActive("i-2"); }));
  Test.restoreCopies();
  REQUIRE(Test.allInEra(1));
  BootTime Seen = Test["first"].View_.eraStart()->SeenAt_;
  SUBCASE("written again") {
    Test.put("op/config", configuration(3));
    CHECK(Test.runUntil(
        [&] { return Test["first"].View_.confirmsNewest(Seen); }));
  }
  SUBCASE("after a while") {
    CHECK_FALSE(Test["first"].View_.confirmsNewest(Seen));
    CHECK(Test["first"].View_.confirmsNewest(Seen + RegisterAgain));
  }
}

namespace {

bool hasFirstServer(FollowingDaemon &Daemon) { return Daemon.isActive("i-1"); }

/// The service comes back from a copy in which i-1 has not left.
void comeBackBeforeLeaving(CopyFleet &Test,
                           const std::function<void()> &Leave) {
  Test.takeCopies();
  Leave();
  REQUIRE(Test.everybody(
      [](FollowingDaemon &Daemon) { return !hasFirstServer(Daemon); }));
  Test.restoreCopies();
  REQUIRE(Test.allInEra(1));
  Test.runFor(Lapse / 2);
  CHECK(Test.nobody(hasFirstServer));
  SUBCASE("its entry lapses") {
    Test.remove("servers/i-1");
    Test.runFor(Lapse);
    CHECK(Test.nobody(hasFirstServer));
  }
  SUBCASE("it is written again") {
    auto Before = BootClock::now();
    Test.put("servers/i-1", serverEntry("ready"));
    CHECK(Test.everybody(hasFirstServer));
    CHECK(BootClock::now() - Before < Lapse / 2);
  }
  SUBCASE("it stands longer than a silent one's would") {
    CHECK(Test.everybody(hasFirstServer));
  }
}

} // namespace

// The copy brings a draining server back.
TEST_CASE("a server that drains stays so, though the copy says it is active") {
  CopyFleet Test;
  comeBackBeforeLeaving(
      Test, [&] { Test.put("servers/i-1", serverEntry("draining")); });
}

// The copy brings a server back that is gone.
TEST_CASE("a server that is gone stays so, though the copy holds it") {
  CopyFleet Test;
  comeBackBeforeLeaving(Test, [&] { Test.remove("servers/i-1"); });
}

// An outage of the service stops servers that registered shortly before.
TEST_CASE("a server that the copy lacks gets work until it should have written "
          "again") {
  CopyFleet Test;
  Test.takeCopies();
  Test.put("servers/i-2", serverEntry("ready"));
  Test.put("servers/i-3", serverEntry("ready"));
  REQUIRE(Test.everybody([](FollowingDaemon &Daemon) {
    return Daemon.isActive("i-2") && Daemon.isActive("i-3");
  }));
  Test.restoreCopies();
  REQUIRE(Test.allInEra(1));
  CHECK(Test["first"].isActive("i-2"));
  CHECK(Test["spare"].isActive("i-3"));
  Test.put("servers/i-2", serverEntry("ready"));
  CHECK(Test.everybody(
      [](FollowingDaemon &Daemon) { return !Daemon.isActive("i-3"); }));
  CHECK(Test.everybody(
      [](FollowingDaemon &Daemon) { return Daemon.isActive("i-2"); }));
}

// A watch goes on from a revision that means something else by now.
TEST_CASE("a change is heard though its revision was given out before") {
  CopyFleet Test;
  FollowingDaemon &First = Test["first"];
  FakeStore &Store = Test.storeOf("first");
  Store.takeCopy();
  Store.put("servers/i-2", serverEntry("ready"));
  REQUIRE(Test.runUntil([&] { return First.isActive("i-2"); }));
  Store.Silent_ = true;
  Store.restoreCopy();
  Store.put("servers/i-1", serverEntry("draining"));
  for (int Index = 0; Index < 5; ++Index)
    Store.put("servers/i-2", serverEntry("ready"));
  Store.Silent_ = false;
  CHECK(Test.runUntil([&] { return !First.isActive("i-1"); }));
}

// Newcomers don't find a daemon whose entry was lost with the copy.
TEST_CASE("daemons write their own entries again, and followers list nothing "
          "for it") {
  Fleet Test;
  Test.takeCopies();
  REQUIRE(Test.runUntil([&] { return Test["spare"].follows("first"); }));
  REQUIRE(Test.runUntil([&] { return Test["first"].Service_->registered(); }));
  auto Lists = Test.SpareStore_.calls("/-/kv-range");
  Test.restoreCopies();
  CHECK(Test.storeOf("first").get("samphireshunt/daemons/first").empty());
  CHECK(Test.runUntil([&] {
    return !Test.storeOf("first").get("samphireshunt/daemons/first").empty() &&
           !Test.SpareStore_.get("samphireshunt/daemons/spare").empty();
  }));
  CHECK(Test.SpareStore_.calls("/-/kv-range") == Lists);
}

// A daemon that starts after the loss serves by the older configuration.
TEST_CASE("a version that gossip names comes from the daemon that has it") {
  CopyFleet Test;
  REQUIRE(Test.loseVersion(5));
  Test["first"].Choice_ = {StoreRole::Alone, {}};
  Test.SpareChoice_ = {StoreRole::Alone, {}};
  Test.startSpare();
  FollowingDaemon &Spare = Test["spare"];
  REQUIRE(Test.runUntil([&] { return Spare.version() == DocumentVersion(3); }));
  Spare.Peers_->onVersionHeard(VmId("first"), DocumentVersion(5));
  CHECK(Spare.Peers_->lacksHeardVersion());
  CHECK(Test.runUntil([&] { return Spare.version() == DocumentVersion(5); }));
  CHECK_FALSE(Spare.Peers_->lacksHeardVersion());
}

// One daemon's word stops the others for good.
TEST_CASE("a version that its daemon does not hand over counts for nothing") {
  CopyFleet Test;
  FollowingDaemon &Spare = Test["spare"];
  Spare.Peers_->onVersionHeard(VmId("second"), DocumentVersion(99));
  CHECK(Test.runUntil([&] { return !Spare.Peers_->lacksHeardVersion(); }));
  Spare.Peers_->onVersionHeard(VmId("second"), DocumentVersion(100));
  CHECK_FALSE(Spare.Peers_->lacksHeardVersion());
  Test.runFor(ApplyBound);
  CHECK_FALSE(Spare.Freshness_.overdue(BootClock::now()));
}

// One daemon's word of an era keeps the others from the service for good.
TEST_CASE("an era that only a daemon has told yields to the service's own") {
  CopyFleet Test;
  FollowingDaemon &Spare = Test["spare"];
  KeyValue Told{
      "servers/i-2", serverEntry("ready"), {StoreEra(1000), Revision(1)}};
  REQUIRE(Spare.View_.follow({false, {Told}, {}}, Told.Position_));
  CHECK(Test.runUntil([&] { return !Spare.Service_->paused(); }));
  CHECK(Test.runUntil([&] { return Spare.follows("first"); }));
  CHECK(Spare.View_.position().Era_ == StoreEra(0));
  Test.put("servers/i-1", serverEntry("draining"));
  CHECK(Test.runUntil([&] { return !Spare.isActive("i-1"); }));
  CHECK(Test.runUntil([&] { return !Spare.isActive("i-2"); }));
  Test.put("servers/i-2", serverEntry("ready"));
  CHECK(Test.runUntil([&] { return Spare.isActive("i-2"); }));
}

// What a paused process reads late of the older era is believed.
TEST_CASE("an answer of an older era changes nothing, and is counted") {
  CopyFleet Test;
  LogCapture Log;
  FollowingDaemon &First = Test["first"];
  FakeStore &Store = Test.storeOf("first");
  Store.takeCopy();
  Store.restoreCopy();
  REQUIRE(Test.runUntil(
      [&] { return First.View_.position().Era_ == StoreEra(1); }));
  Store.Era_ = "0";
  Store.put("servers/i-1", serverEntry("draining"));
  CHECK(Test.runUntil([&] { return First.Service_->badEras() > 1; }));
  CHECK(First.isActive("i-1"));
  CHECK(First.View_.position().Era_ == StoreEra(1));
  CHECK(Log.count("bad-store-era") == 1);
}

// A header of another form is taken for an era, or ends the process.
TEST_CASE("an era that is no number leaves the last good state") {
  CopyFleet Test;
  FollowingDaemon &First = Test["first"];
  FakeStore &Store = Test.storeOf("first");
  SUBCASE("text") { Store.Era_ = "third"; }
  SUBCASE("negative") { Store.Era_ = "-1"; }
  SUBCASE("a fraction") { Store.Era_ = "1.5"; }
  SUBCASE("beyond 64 bits") { Store.Era_ = "18446744073709551616"; }
  CHECK(Test.runUntil([&] { return First.Service_->badEras() > 0; }));
  CHECK(First.isActive("i-1"));
  CHECK(First.version() == DocumentVersion(3));
  CHECK(First.View_.position().Era_ == StoreEra(0));
  Store.Era_ = "1";
  CHECK(Test.runUntil(
      [&] { return First.View_.position().Era_ == StoreEra(1); }));
}

// Two copies one after the other: the second one's loss goes unseen.
TEST_CASE("what was written between two copies is written again after both") {
  CopyFleet Test;
  REQUIRE(Test.loseVersion(5));
  REQUIRE(Test.allInEra(1));
  Test.put("op/config", configuration(5));
  Test.put("op/config", configuration(6));
  REQUIRE(Test.allHave(6));
  Test.restoreCopies();
  REQUIRE(Test.allInEra(2));
  CHECK(
      Test.everybody([](FollowingDaemon &Daemon) { return !isFresh(Daemon); }));
  CHECK(Test.allHave(6));
  Test.put("op/config", configuration(6));
  CHECK(Test.everybody(isFresh));
}
