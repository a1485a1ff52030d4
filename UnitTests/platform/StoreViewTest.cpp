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
