#include "Process/Configuration/StoreView.h"

#include "UnitTests/LogCapture.h"
#include "platform/Configuration.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace samphireshunt;
using std::chrono::milliseconds;

namespace {

const ServiceName Service("platform");
const PoolName ThePool("s");

StorePosition at(std::uint64_t Number) {
  return {StoreEra(), Revision(Number)};
}

KeyValue configuration() {
  return {"op/config",
          R"({"version":3,"routes":[],"services":[{"name":"s"}],"limits":{}})",
          at(1)};
}

KeyValue server(const std::string &Name, std::uint64_t At) {
  std::string Value = R"({"service":"s","address":"10.0.0.1:80","zone":"z",
                          "state":"ready","batch-size":2,"version":"v1",
                          "warmup-left-ms":0,"sequence":1})";
  return {"servers/" + Name, std::move(Value), at(At)};
}

/// The view of a daemon that follows other daemons.
class Follower {
public:
  Follower()
      : View_(Documents_, platform::storeLayout(), {milliseconds(2400)}) {
    StoreView::Hooks Hooks;
    Hooks.DaemonEntryRead_ = [](const VmId &, const KeyValue &) {};
    Hooks.Changed_ = [] {};
    View_.setHooks(std::move(Hooks));
  }
  bool isActive(const std::string &Name) const {
    return Documents_.snapshot()->activeServer(Service, ThePool,
                                               ServerName(Name)) != nullptr;
  }

  DocumentStore Documents_;
  StoreView View_;
};

} // namespace

TEST_CASE("a server that is known to be gone does not come back with another "
          "daemon's older state") {
  // A daemon receives the removal of a server from the daemon that it follows
  // and then follows another one. The service rejected that one's calls
  // meanwhile, so that it treats the missing entry as expired and retains the
  // server. If its position alone decided, its state would be applied and
  // requests would be sent to the engine three seconds and more after the
  // service reported it gone.
  Follower Test;
  REQUIRE(
      Test.View_.follow({true, {configuration(), server("i-1", 5)}}, at(10)));
  REQUIRE(Test.isActive("i-1"));
  KeyValue Gone = server("i-1", 5);
  Gone.Deleted_ = true;
  REQUIRE(Test.View_.follow({false, {Gone}}, at(20)));
  CHECK_FALSE(Test.isActive("i-1"));
  REQUIRE(
      Test.View_.follow({true, {configuration(), server("i-1", 5)}}, at(30)));
  CHECK_FALSE(Test.isActive("i-1"));
  // The server registers again.
  REQUIRE(Test.View_.follow({false, {server("i-1", 40)}}, at(40)));
  CHECK(Test.isActive("i-1"));
}

TEST_CASE(
    "followers are notified of a server that registers again with the same "
    "entry") {
  Follower Reader;
  KeyValueList All{{configuration(), server("i-1", 5)}, at(10)};
  Reader.View_.listed(All);
  Reader.View_.publish();
  auto Number = Reader.View_.log().last();
  Reader.View_.apply(server("i-1", 40));
  auto Changes = Reader.View_.log().since(Number);
  REQUIRE(Changes.Entries_.size() == 1);
  CHECK(Changes.Entries_.front().Position_ == at(40));
}

TEST_CASE(
    "a large directory is logged in one line, a single server in its own") {
  Follower Test;
  tests::LogCapture Log;
  KeyValueList All;
  All.Entries_ = {configuration()};
  for (int Index = 0; Index < 300; ++Index)
    All.Entries_.push_back(server(fmt::format("i-{}", Index), 5));
  All.Position_ = at(10);
  Test.View_.listed(All);
  Test.View_.publish();
  CHECK(Log.count("server-seen") == 1);
  CHECK(Log.count(R"("count":"300","servers":"i-0,i-1,)") == 1);
  KeyValue Gone = server("i-7", 11);
  Gone.Deleted_ = true;
  Test.View_.apply(Gone);
  Test.View_.publish();
  CHECK(Log.count(R"("event":"server-gone","server":"i-7")") == 1);
}

TEST_CASE("a server is logged as gone when it gets no more requests") {
  // Guards against a line that precedes the requests that still follow it.
  for (auto Cause : {OutageCause::Service, OutageCause::Own}) {
    Follower Test;
    Test.View_.apply(configuration());
    Test.View_.apply(server("i-7", 5));
    Test.View_.publish();
    tests::LogCapture Log;
    KeyValue Gone = server("i-7", 11);
    Gone.Deleted_ = true;
    Test.View_.outageBegan();
    Test.View_.apply(Gone);
    Test.View_.publish();
    CHECK(Test.isActive("i-7"));
    CHECK(Log.count("server-gone") == 0);
    CHECK(Log.count("server-missing") == 1);
    Test.View_.outageEnded(Cause);
    Test.View_.dropMissing();
    bool IsGone = Cause == OutageCause::Own;
    CHECK(Test.isActive("i-7") == !IsGone);
    CHECK(Log.count("server-gone") == (IsGone ? 1 : 0));
  }
}

TEST_CASE("entries of roll-outs reach followers, and only newer ones count") {
  // Guards against a daemon that is behind or restored bringing back an order
  // that was withdrawn, and against a follower that never learns of one.
  Follower Test;
  std::vector<std::string> Seen;
  StoreView::Hooks Hooks;
  Hooks.DaemonEntryRead_ = [](const VmId &, const KeyValue &) {};
  Hooks.Changed_ = [] {};
  Hooks.RolloutEntryChanged_ = [&](const KeyValue &Entry) {
    Seen.push_back(Entry.Deleted_ ? "removed" : Entry.Value_);
  };
  Test.View_.setHooks(std::move(Hooks));
  auto Order = [](const std::string &Value, StorePosition At, bool Deleted) {
    return KeyValue{"op/rollout/s", Value, At, Deleted};
  };
  Test.View_.apply(server("i-1", 2));
  Test.View_.apply(Order("first", at(5), false));
  Test.View_.apply(Order("first", at(5), false));
  Test.View_.apply(Order("older", at(4), false));
  CHECK(Seen == std::vector<std::string>{"first"});
  CHECK(Test.View_.told(0).Entries_.size() == 2);
  std::uint64_t Digest = Test.View_.digest();
  Test.View_.apply(Order("first", at(6), false));
  CHECK(Test.View_.digest() != Digest);
  Test.View_.apply(Order("", at(7), true));
  CHECK(Seen.back() == "removed");
  CHECK(Seen.size() == 3);
}

TEST_CASE("an order that a complete state lacks was withdrawn, unless it was "
          "lost with a restore") {
  // Guards against a roll-out that is reverted because the platform's service
  // came back from an older backup.
  Follower Test;
  int Removed = 0;
  StoreView::Hooks Hooks;
  Hooks.DaemonEntryRead_ = [](const VmId &, const KeyValue &) {};
  Hooks.Changed_ = [] {};
  Hooks.RolloutEntryChanged_ = [&](const KeyValue &Entry) {
    Removed += Entry.Deleted_ ? 1 : 0;
  };
  Test.View_.setHooks(std::move(Hooks));
  KeyValueList All{{configuration(), {"op/rollout/s", "order", at(5), false}},
                   at(6)};
  REQUIRE(Test.View_.reached(All.Position_).has_value());
  Test.View_.listed(All);
  KeyValueList Without{{configuration()}, at(7)};
  SUBCASE("withdrawn") {
    Test.View_.listed(Without);
    CHECK(Removed == 1);
  }
  SUBCASE("lost with a restore") {
    Without.Position_ = {StoreEra(1), Revision(3)};
    REQUIRE(Test.View_.reached(Without.Position_).has_value());
    Test.View_.listed(Without);
    CHECK(Removed == 0);
  }
}
