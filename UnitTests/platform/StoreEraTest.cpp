/// \file
/// The platform's store is restored from a backup that is some seconds old. The
/// tests check the state of daemons that read it and of daemons that follow
/// those.

#include "UnitTests/platform/FollowerFleet.h"

#include "UnitTests/LogCapture.h"

#include <doctest/doctest.h>

using namespace samphireshunt;
using namespace samphireshunt::tests;

namespace {

const std::vector<std::string> Everybody = {"first", "second", "third",
                                            "spare"};

/// A fleet without faults in which the daemon "spare" follows "first".
class RestoreFleet : public Fleet {
public:
  RestoreFleet() {
    REQUIRE(runUntil([&] { return (*this)["spare"].follows("first"); }));
    REQUIRE(everybody([](FollowingDaemon &Daemon) {
      return Daemon.isActive("i-1") && Daemon.Service_->registered();
    }));
  }
  /// Runs until \p IsSo holds at each daemon. \returns whether it does.
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
  /// Restores the store from a backup without \p Version after all daemons have
  /// got this version. \returns whether all had it before.
  bool loseVersion(int Version) {
    takeBackups();
    put("op/config", configuration(Version));
    bool All = allHave(Version);
    restoreBackups();
    return All;
  }
};

bool isFresh(FollowingDaemon &Daemon) {
  return Daemon.Freshness_.valid(BootClock::now());
}

} // namespace

// A backup holds an older configuration. Daemons that activated it would accept
// keys again that were revoked.
TEST_CASE("a version that the backup lacks stays active, and is confirmed only "
          "once it is written again") {
  RestoreFleet Test;
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

// A daemon cannot know whether the store had a newer version before the restore
// that no daemon received. It must not treat that as impossible and confirm its
// version at once.
TEST_CASE(
    "a version that the backup holds is confirmed when it is written again, "
    "or after a while") {
  RestoreFleet Test;
  Test.takeBackups();
  Test.put("servers/i-2", serverEntry("ready"));
  REQUIRE(Test.runUntil([&] { return Test["first"].isActive("i-2"); }));
  Test.restoreBackups();
  REQUIRE(Test.allInEra(1));
  BootTime Seen = Test["first"].View_.eraStart()->SeenAt_;
  SUBCASE("written again") {
    Test.put("op/config", configuration(3));
    CHECK(Test.runUntil(
        [&] { return Test["first"].View_.confirmsNewest(Seen); }));
  }
  SUBCASE("after a while") {
    CHECK_FALSE(Test["first"].View_.confirmsNewest(Seen));
    CHECK(Test["first"].View_.confirmsNewest(Seen + RegistrationInterval));
  }
}

namespace {

bool hasFirstServer(FollowingDaemon &Daemon) { return Daemon.isActive("i-1"); }

/// Restores the service from a backup in which i-1 has not left yet.
void restoreBeforeLeaving(RestoreFleet &Test,
                          const std::function<void()> &Leave) {
  Test.takeBackups();
  Leave();
  REQUIRE(Test.everybody(
      [](FollowingDaemon &Daemon) { return !hasFirstServer(Daemon); }));
  Test.restoreBackups();
  REQUIRE(Test.allInEra(1));
  Test.runFor(ExpiryTime / 2);
  CHECK(Test.nobody(hasFirstServer));
  SUBCASE("its entry expires") {
    Test.remove("servers/i-1");
    Test.runFor(ExpiryTime);
    CHECK(Test.nobody(hasFirstServer));
  }
  SUBCASE("it is written again") {
    auto Before = BootClock::now();
    Test.put("servers/i-1", serverEntry("ready"));
    CHECK(Test.everybody(hasFirstServer));
    CHECK(BootClock::now() - Before < ExpiryTime / 2);
  }
  SUBCASE("its entry exists longer than that of a dead server would") {
    CHECK(Test.everybody(hasFirstServer));
  }
}

} // namespace

// A backup from before a server began to drain must not make it active again.
TEST_CASE(
    "a server that drains stays so, though the backup says it is active") {
  RestoreFleet Test;
  restoreBeforeLeaving(
      Test, [&] { Test.put("servers/i-1", serverEntry("draining")); });
}

// A backup that still holds the entry of a removed server must not bring it
// back.
TEST_CASE("a server that is gone stays so, though the backup holds it") {
  RestoreFleet Test;
  restoreBeforeLeaving(Test, [&] { Test.remove("servers/i-1"); });
}

// A restored backup lacks servers that registered shortly before. They must not
// lose their work at once, as they are still running.
TEST_CASE("a server that the copy lacks gets work until it should have written "
          "again") {
  RestoreFleet Test;
  Test.takeBackups();
  Test.put("servers/i-2", serverEntry("ready"));
  Test.put("servers/i-3", serverEntry("ready"));
  REQUIRE(Test.everybody([](FollowingDaemon &Daemon) {
    return Daemon.isActive("i-2") && Daemon.isActive("i-3");
  }));
  Test.restoreBackups();
  REQUIRE(Test.allInEra(1));
  CHECK(Test["first"].isActive("i-2"));
  CHECK(Test["spare"].isActive("i-3"));
  Test.put("servers/i-2", serverEntry("ready"));
  CHECK(Test.everybody(
      [](FollowingDaemon &Daemon) { return !Daemon.isActive("i-3"); }));
  CHECK(Test.everybody(
      [](FollowingDaemon &Daemon) { return Daemon.isActive("i-2"); }));
}

// After a restore revisions are assigned again. A watch that went on from its
// old revision would miss changes.
TEST_CASE("a change is received though its revision was assigned before") {
  RestoreFleet Test;
  FollowingDaemon &First = Test["first"];
  FakeStore &Store = Test.storeOf("first");
  Store.takeBackup();
  Store.put("servers/i-2", serverEntry("ready"));
  REQUIRE(Test.runUntil([&] { return First.isActive("i-2"); }));
  Store.Silent_ = true;
  Store.restoreBackup();
  Store.put("servers/i-1", serverEntry("draining"));
  for (int Index = 0; Index < 5; ++Index)
    Store.put("servers/i-2", serverEntry("ready"));
  Store.Silent_ = false;
  CHECK(Test.runUntil([&] { return !First.isActive("i-1"); }));
}

// A restore loses the entries of daemons that registered after the backup. New
// daemons would not find them.
TEST_CASE("daemons write their own entries again, and followers list nothing "
          "for it") {
  Fleet Test;
  Test.takeBackups();
  REQUIRE(Test.runUntil([&] { return Test["spare"].follows("first"); }));
  REQUIRE(Test.runUntil([&] { return Test["first"].Service_->registered(); }));
  auto Lists = Test.SpareStore_.calls("/-/kv-range");
  Test.restoreBackups();
  CHECK(Test.storeOf("first").get("samphireshunt/daemons/first").empty());
  CHECK(Test.runUntil([&] {
    return !Test.storeOf("first").get("samphireshunt/daemons/first").empty() &&
           !Test.SpareStore_.get("samphireshunt/daemons/spare").empty();
  }));
  CHECK(Test.SpareStore_.calls("/-/kv-range") == Lists);
}

// A daemon that starts after a restore reads only the older configuration and
// would use it although other daemons have a newer one.
TEST_CASE("a version that gossip names comes from the daemon that has it") {
  RestoreFleet Test;
  REQUIRE(Test.loseVersion(5));
  Test["first"].Choice_ = {StoreRole::Alone, {}};
  Test.SpareChoice_ = {StoreRole::Alone, {}};
  Test.startSpare();
  FollowingDaemon &Spare = Test["spare"];
  REQUIRE(Test.runUntil([&] { return Spare.version() == DocumentVersion(3); }));
  Spare.Peers_->onVersionAnnounced(VmId("first"), DocumentVersion(5));
  CHECK(Spare.Peers_->lacksAnnouncedVersion());
  CHECK(Test.runUntil([&] { return Spare.version() == DocumentVersion(5); }));
  CHECK_FALSE(Spare.Peers_->lacksAnnouncedVersion());
}

// A single daemon announces a version that it cannot deliver. Others that
// waited for it would stop serving for good.
TEST_CASE("a version that its daemon does not deliver is ignored") {
  RestoreFleet Test;
  FollowingDaemon &Spare = Test["spare"];
  Spare.Peers_->onVersionAnnounced(VmId("second"), DocumentVersion(99));
  CHECK(Test.runUntil([&] { return !Spare.Peers_->lacksAnnouncedVersion(); }));
  Spare.Peers_->onVersionAnnounced(VmId("second"), DocumentVersion(100));
  CHECK_FALSE(Spare.Peers_->lacksAnnouncedVersion());
  Test.runFor(ApplyBound);
  CHECK_FALSE(Spare.Freshness_.overdue(BootClock::now()));
}

// A single daemon sends a wrong, too high era. Others that insisted on it would
// reject the service's own responses for good.
TEST_CASE("an era that only a daemon has sent yields to the service's own") {
  RestoreFleet Test;
  FollowingDaemon &Spare = Test["spare"];
  KeyValue Received{
      "servers/i-2", serverEntry("ready"), {StoreEra(1000), Revision(1)}};
  REQUIRE(Spare.View_.follow({false, {Received}, {}}, Received.Position_));
  CHECK(Test.runUntil([&] { return !Spare.Service_->paused(); }));
  CHECK(Test.runUntil([&] { return Spare.follows("first"); }));
  CHECK(Spare.View_.position().Era_ == StoreEra(0));
  Test.put("servers/i-1", serverEntry("draining"));
  CHECK(Test.runUntil([&] { return !Spare.isActive("i-1"); }));
  CHECK(Test.runUntil([&] { return !Spare.isActive("i-2"); }));
  Test.put("servers/i-2", serverEntry("ready"));
  CHECK(Test.runUntil([&] { return Spare.isActive("i-2"); }));
}

// A process that was paused may read a response of an older era after it has
// seen a newer one. It must not apply that response.
TEST_CASE("an answer of an older era changes nothing, and is counted") {
  RestoreFleet Test;
  LogCapture Log;
  FollowingDaemon &First = Test["first"];
  FakeStore &Store = Test.storeOf("first");
  Store.takeBackup();
  Store.restoreBackup();
  REQUIRE(Test.runUntil(
      [&] { return First.View_.position().Era_ == StoreEra(1); }));
  Store.Era_ = "0";
  Store.put("servers/i-1", serverEntry("draining"));
  CHECK(Test.runUntil([&] { return First.Service_->badEras() > 1; }));
  CHECK(First.isActive("i-1"));
  CHECK(First.View_.position().Era_ == StoreEra(1));
  CHECK(Log.count("bad-store-era") == 1);
}

// A malformed era header must neither be used as an era nor end the process.
TEST_CASE("an era that is not a number leaves the last good state") {
  RestoreFleet Test;
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

// The store is restored twice from the same backup. The loss at the second
// restore must not go unnoticed.
TEST_CASE("what was written between two restores is written again after both") {
  RestoreFleet Test;
  REQUIRE(Test.loseVersion(5));
  REQUIRE(Test.allInEra(1));
  Test.put("op/config", configuration(5));
  Test.put("op/config", configuration(6));
  REQUIRE(Test.allHave(6));
  Test.restoreBackups();
  REQUIRE(Test.allInEra(2));
  CHECK(
      Test.everybody([](FollowingDaemon &Daemon) { return !isFresh(Daemon); }));
  CHECK(Test.allHave(6));
  Test.put("op/config", configuration(6));
  CHECK(Test.everybody(isFresh));
}
