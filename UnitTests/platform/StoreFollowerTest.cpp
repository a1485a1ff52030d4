/// \file
/// Tests of the configuration and servers that a daemon uses while the
/// platform's store works, fails, reports changes late or has lost its history.

#include "Process/Configuration/StoreFollower.h"

#include "UnitTests/OddNumbers.h"
#include "UnitTests/platform/FakeStore.h"
#include "UnitTests/platform/StoreEntries.h"
#include "platform/Configuration.h"
#include "platform/Store.h"

#include <doctest/doctest.h>

#include <stdexcept>

using namespace samphireshunt;
using namespace samphireshunt::tests;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds Lease{400};
constexpr milliseconds ApplyBound{200};

/// A configuration that is padded with \p Bytes spaces.
std::string largeConfiguration(int Version, std::size_t Bytes) {
  return configuration(Version) + std::string(Bytes, ' ');
}

class FollowerFixture {
public:
  explicit FollowerFixture(
      milliseconds WatchTime = milliseconds(2000),
      milliseconds LapseTime = StoreFollower::Options().EarliestExpiry_,
      milliseconds ConfirmTime = milliseconds(100),
      BootClock::duration RegisterAgain = milliseconds(150),
      StoreLimits Limits = {})
      : Limits_(Limits), WatchTime_(WatchTime), EarliestExpiry_(LapseTime),
        ConfirmTime_(ConfirmTime), Store_(Context_),
        Freshness_(Lease, ApplyBound),
        View_(Documents_, platform::storeLayout(), {RegisterAgain}) {
    Store_.put("op/config", configuration(3));
    Store_.put("servers/i-1", serverEntry("ready"));
    follow();
  }
  /// Creates and starts the follower, as at the start of a daemon.
  void follow() {
    StoreFollower::Options Options;
    Options.WatchTime_ = WatchTime_;
    Options.EarliestExpiry_ = EarliestExpiry_;
    Options.ConfirmTime_ = ConfirmTime_;
    Options.MaxWatchLag_ = milliseconds(20);
    Options.BatchTime_ = milliseconds(5);
    Options.FirstBatchTime_ = milliseconds(5);
    Options.FirstPause_ = milliseconds(5);
    Options.MaxPause_ = milliseconds(10);
    Options.Outages_ = {milliseconds(50), std::chrono::hours(1),
                        std::chrono::hours(1)};
    StoreView::Hooks Hooks;
    Hooks.DaemonEntryRead_ = [this](const VmId &Id, const KeyValue &Entry) {
      Follower_->onDaemonEntry(Id, Entry);
      Seen_[Id] = Entry.Value_;
    };
    Hooks.Changed_ = [this] { Changed_(); };
    View_.setHooks(std::move(Hooks));
    Follower_ = std::make_unique<StoreFollower>(
        Context_,
        platform::storeHooks(Store_.address(), milliseconds(100),
                             platform::DefaultMaxBodyTime, Limits_),
        View_, Freshness_, Options);
    Follower_->start(VmId("vm-1"), "10.0.0.9:7600");
  }
  bool runUntil(const std::function<bool()> &Done) {
    return tests::runUntil(Context_, Done);
  }
  void runFor(milliseconds Time) { tests::runFor(Context_, Time); }
  DocumentVersion version() const { return View_.version(); }
  std::size_t servers() const {
    auto Snapshot = Documents_.snapshot();
    const ServiceConfiguration *Active = Snapshot->service(Service);
    const Pool *Found = Active ? Active->pool(ThePool) : nullptr;
    return Found ? Found->Servers_.size() : 0;
  }
  /// Resumes following the service. Returns when everything is listed and
  /// active.
  void resume(bool AfterOutage) {
    auto Watches = Store_.calls("/-/kv-watch");
    Follower_->resume(AfterOutage);
    REQUIRE(runUntil([&] { return Store_.calls("/-/kv-watch") > Watches; }));
  }
  bool isActive(const std::string &Name) const {
    return tests::isActive(Documents_, Name);
  }

  StoreLimits Limits_;
  milliseconds WatchTime_;
  milliseconds EarliestExpiry_;
  milliseconds ConfirmTime_;
  boost::asio::io_context Context_;
  FakeStore Store_;
  DocumentStore Documents_;
  FreshnessLease Freshness_;
  StoreView View_;
  std::map<VmId, std::string> Seen_;
  std::function<void()> Changed_ = [] {};
  std::unique_ptr<StoreFollower> Follower_;
};

} // namespace

TEST_CASE("changes of configuration, servers and daemons become active") {
  FollowerFixture Test;
  REQUIRE(Test.runUntil([&] { return Test.isActive("i-1"); }));
  CHECK(Test.version() == DocumentVersion(3));
  CHECK(Test.runUntil([&] {
    return Test.Store_.get("samphireshunt/daemons/vm-1") == "10.0.0.9:7600";
  }));
  Test.Store_.put("samphireshunt/daemons/vm-2", "10.0.0.8:7600");
  Test.Store_.put("servers/i-1", serverEntry("draining"));
  Test.Store_.put("op/config", configuration(5));
  CHECK(Test.runUntil([&] {
    return Test.version() == DocumentVersion(5) && !Test.isActive("i-1") &&
           Test.Seen_.contains(VmId("vm-2"));
  }));
  CHECK(Test.servers() == 1);
  Test.Store_.remove("servers/i-1");
  CHECK(Test.runUntil([&] { return Test.servers() == 0; }));
}

TEST_CASE("a daemon that restarts at its address writes nothing") {
  FollowerFixture Test;
  REQUIRE(Test.runUntil([&] { return Test.Store_.calls("/-/kv-txn") == 1; }));
  REQUIRE(Test.runUntil(
      [&] { return !Test.Store_.get("samphireshunt/daemons/vm-1").empty(); }));
  Test.Follower_->stop();
  Test.runFor(milliseconds(150));
  Test.follow();
  Test.runFor(milliseconds(150));
  CHECK(Test.Store_.calls("/-/kv-txn") == 1);
}

TEST_CASE("a registration whose answer was lost is found, not written again") {
  FollowerFixture Test;
  Test.Store_.LoseWriteAnswers_ = 1;
  CHECK(Test.runUntil(
      [&] { return !Test.Store_.get("samphireshunt/daemons/vm-1").empty(); }));
  Test.runFor(milliseconds(300));
  CHECK(Test.Store_.calls("/-/kv-txn") <= 2);
}

TEST_CASE("the state is confirmed as soon as that is wanted, for all at once") {
  // Guards against streams that wait for a confirmation that comes too late,
  // and against a call for each of them.
  constexpr int Wanted = 80;
  constexpr milliseconds Long(20000);
  FollowerFixture Test(Long, StoreFollower::Options().EarliestExpiry_, Long);
  REQUIRE(Test.runUntil([&] { return Test.isActive("i-1"); }));
  Test.runFor(milliseconds(50));
  auto Calls = Test.Store_.calls("/-/kv-range");
  for (int Number = 0; Number < Wanted; ++Number)
    Test.Follower_->confirmSoon();
  BootTime Asked = BootClock::now();
  CHECK(Test.runUntil([&] { return Test.Freshness_.confirmedAt() >= Asked; }));
  CHECK(Test.Store_.calls("/-/kv-range") == Calls + 1);
}

TEST_CASE("an older version never becomes active again") {
  FollowerFixture Test;
  REQUIRE(Test.runUntil([&] { return Test.version() == DocumentVersion(3); }));
  Test.Store_.put("op/config", configuration(2));
  Test.runFor(milliseconds(150));
  CHECK(Test.version() == DocumentVersion(3));
}

TEST_CASE(
    "an invalid configuration leaves the last valid one active, an invalid "
    "server entry adds no server") {
  FollowerFixture Test;
  REQUIRE(Test.runUntil([&] { return Test.isActive("i-1"); }));
  Test.Store_.put("op/config", "{\"version\":9}");
  Test.Store_.put("servers/i-1", "{}");
  Test.Store_.put("servers/i-2", serverEntry("ready"));
  CHECK(Test.runUntil([&] { return Test.isActive("i-2"); }));
  CHECK_FALSE(Test.isActive("i-1"));
  CHECK(Test.servers() == 1);
  CHECK(Test.version() == DocumentVersion(3));
}

TEST_CASE("a server that left while the history was lost is gone at once") {
  // Watches report nothing while a server's entry is removed, and the store
  // drops its history and rejects the watch. A watch that went on from the
  // newest revision would miss the change, and requests would go to the server
  // long after it left.
  FollowerFixture Test;
  REQUIRE(Test.runUntil([&] { return Test.isActive("i-1"); }));
  Test.Store_.remove("servers/i-1");
  Test.Store_.put("op/config", configuration(4));
  Test.Store_.dropHistory();
  CHECK(Test.runUntil([&] { return Test.servers() == 0; }));
  CHECK(Test.version() == DocumentVersion(4));
}

TEST_CASE("servers whose entries expire in an outage keep their work until "
          "they should be back") {
  FollowerFixture Test;
  REQUIRE(Test.runUntil([&] { return Test.isActive("i-1"); }));
  Test.Store_.put("servers/i-2", serverEntry("ready"));
  REQUIRE(Test.runUntil([&] { return Test.servers() == 2; }));
  Test.Store_.FailWith_ = 503;
  REQUIRE(Test.runUntil([&] { return !Test.Follower_->platformReachable(); }));
  Test.runFor(milliseconds(50));
  Test.Store_.remove("servers/i-1");
  Test.Store_.remove("servers/i-2");
  Test.Store_.FailWith_ = 0;
  REQUIRE(Test.runUntil([&] { return Test.Follower_->platformReachable(); }));
  CHECK(Test.servers() == 2);
  Test.Store_.put("servers/i-1", serverEntry("ready"));
  CHECK(Test.runUntil([&] { return Test.servers() == 1; }));
  CHECK(Test.isActive("i-1"));
}

TEST_CASE("a server that left while this daemon was cut off is not used after "
          "it") {
  // Guards against requests to it for as long as entries may take to return.
  FollowerFixture Test(milliseconds(2000),
                       StoreFollower::Options().EarliestExpiry_,
                       milliseconds(100), std::chrono::hours(1));
  REQUIRE(Test.runUntil([&] { return Test.isActive("i-1"); }));
  Test.Follower_->heardOther();
  Test.Store_.FailWith_ = 503;
  REQUIRE(Test.runUntil([&] { return !Test.Follower_->platformReachable(); }));
  Test.runFor(milliseconds(100));
  Test.Store_.remove("servers/i-1");
  Test.Store_.FailWith_ = 0;
  CHECK(Test.runUntil([&] { return Test.servers() == 0; }));
}

TEST_CASE("a store that stops answering ends the freshness, and its return "
          "renews it") {
  FollowerFixture Test;
  auto Fresh = [&] { return Test.Freshness_.valid(BootClock::now()); };
  REQUIRE(Test.runUntil(Fresh));
  Test.Store_.Silent_ = true;
  CHECK(Test.runUntil([&] { return !Fresh(); }));
  Test.Store_.Silent_ = false;
  CHECK(Test.runUntil(Fresh));
}

TEST_CASE(
    "a store without changes gets only the calls that freshness requires") {
  FollowerFixture Test;
  REQUIRE(Test.runUntil([&] { return Test.Store_.calls("/-/kv-txn") == 1; }));
  auto Watches = Test.Store_.calls("/-/kv-watch");
  auto Ranges = Test.Store_.calls("/-/kv-range");
  Test.runFor(milliseconds(500));
  // One watch is pending, and there is one read every 100 ms.
  CHECK(Test.Store_.calls("/-/kv-watch") - Watches <= 2);
  CHECK(Test.Store_.calls("/-/kv-range") - Ranges <= 6);
}

TEST_CASE("a watch that went silent is replaced") {
  // The watch's connection goes silent while new ones work, and a server begins
  // to leave. Only another call distinguishes a broken watch from a service
  // without changes. Without one the server would get requests for as long as a
  // watch lasts.
  FollowerFixture Test;
  REQUIRE(Test.runUntil([&] { return Test.isActive("i-1"); }));
  Test.runFor(milliseconds(30));
  Test.Store_.DropWatchEvents_ = true;
  Test.Store_.put("servers/i-1", serverEntry("draining"));
  Test.runFor(milliseconds(10));
  Test.Store_.DropWatchEvents_ = false;
  auto Begin = std::chrono::steady_clock::now();
  CHECK(Test.runUntil([&] { return !Test.isActive("i-1"); }));
  CHECK(std::chrono::steady_clock::now() - Begin < milliseconds(1500));
}

TEST_CASE("an entry that is overwritten by another writer gets no new work") {
  // The valid entry of an engine is overwritten by invalid bytes, while another
  // engine's entry stays unchanged. If the last valid entry were retained as
  // long as the invalid one exists, requests would be sent to an engine whose
  // address is no longer known.
  FollowerFixture Test;
  Test.Store_.put("servers/i-2", serverEntry("ready"));
  REQUIRE(Test.runUntil(
      [&] { return Test.isActive("i-1") && Test.isActive("i-2"); }));
  Test.Store_.put("servers/i-1", std::string("\xff\xfe{", 3));
  CHECK(Test.runUntil([&] { return !Test.isActive("i-1"); }));
  CHECK(Test.isActive("i-2"));
  Test.Store_.put("servers/i-1", serverEntry("ready"));
  CHECK(Test.runUntil([&] { return Test.isActive("i-1"); }));
}

TEST_CASE("a large configuration is read once, not with each confirmation") {
  // The operator writes a large configuration, and nothing changes afterwards.
  // If each confirmation read the whole configuration again, a daemon with a
  // slow link would saturate it for as long as it runs.
  FollowerFixture Test;
  REQUIRE(Test.runUntil([&] { return Test.Store_.calls("/-/kv-txn") == 1; }));
  constexpr std::size_t Large = 300000;
  Test.Store_.put("op/config", largeConfiguration(4, Large));
  REQUIRE(Test.runUntil([&] { return Test.version() == DocumentVersion(4); }));
  Test.runFor(milliseconds(150));
  auto Bytes = Test.Store_.bytesSent();
  auto Calls = Test.Store_.calls("/-/kv-range");
  Test.runFor(milliseconds(600));
  CHECK(Test.Store_.calls("/-/kv-range") >= Calls + 3);
  CHECK(Test.Store_.bytesSent() - Bytes < Large / 10);
  CHECK(Test.Freshness_.valid(BootClock::now()));
}

TEST_CASE("a change that is not applied yet ends the freshness") {
  // Watches report nothing for a while, not even new ones, and the operator
  // revokes a key. If a response renewed the freshness although the service's
  // revision is newer than the state here, the key would work for longer than
  // the bound.
  FollowerFixture Test;
  auto Fresh = [&] { return Test.Freshness_.valid(BootClock::now()); };
  REQUIRE(Test.runUntil([&] { return Test.Store_.calls("/-/kv-txn") == 1; }));
  REQUIRE(Test.runUntil(Fresh));
  Test.runFor(milliseconds(150));
  Test.Store_.DropWatchEvents_ = true;
  Test.Store_.put("op/config", configuration(4));
  Test.runFor(Lease + milliseconds(100));
  CHECK((Test.version() == DocumentVersion(4) || !Fresh()));
  Test.Store_.DropWatchEvents_ = false;
  CHECK(Test.runUntil(
      [&] { return Test.version() == DocumentVersion(4) && Fresh(); }));
}

TEST_CASE(
    "a watch that ends past changes that it did not report is no update") {
  // Watches report nothing for a moment, in which a server leaves, the
  // configuration changes and a watch's time ends. If its response without
  // changes counted as complete up to its revision, requests would go to the
  // departed server and a revoked key would work for good.
  constexpr milliseconds ShortWatch{50};
  FollowerFixture Test(ShortWatch);
  REQUIRE(Test.runUntil([&] { return Test.isActive("i-1"); }));
  REQUIRE(Test.runUntil([&] { return Test.Store_.calls("/-/kv-txn") == 1; }));
  Test.runFor(ShortWatch * 2);
  Test.Store_.DropWatchEvents_ = true;
  Test.runFor(milliseconds(10));
  Test.Store_.remove("servers/i-1");
  Test.Store_.put("op/config", configuration(4));
  Test.runFor(ShortWatch * 2);
  Test.Store_.DropWatchEvents_ = false;
  CHECK(Test.runUntil([&] {
    return Test.servers() == 0 && Test.version() == DocumentVersion(4);
  }));
}

TEST_CASE("a watch whose answer is coming is not given up") {
  // The operator writes a configuration that takes the link longer than a watch
  // may be behind. If the watch counted as broken while its response arrives,
  // the next one would request the same response again, in parallel. A daemon
  // with a slow link would saturate it for as long as it runs and never get the
  // whole change.
  FollowerFixture Test;
  REQUIRE(Test.runUntil([&] { return Test.isActive("i-1"); }));
  REQUIRE(Test.runUntil([&] { return Test.Store_.calls("/-/kv-txn") == 1; }));
  Test.runFor(milliseconds(50));
  constexpr std::size_t Large = 300000;
  Test.Store_.BytesPerSecond_ = Large * 2;
  auto Bytes = Test.Store_.bytesSent();
  Test.Store_.put("op/config", largeConfiguration(4, Large));
  CHECK(Test.runUntil([&] { return Test.version() == DocumentVersion(4); }));
  Test.runFor(milliseconds(800));
  // The response holds the value as base64, four bytes for three.
  CHECK(Test.Store_.bytesSent() - Bytes < Large * 4 / 3 + Large / 4);
  CHECK(Test.Freshness_.valid(BootClock::now()));
  CHECK(Test.Follower_->platformReachable());
}

// A replaced configuration must not be used without limit while a saturated
// link transmits the next one.
TEST_CASE("a configuration whose answer comes slowly makes the active one "
          "overdue, until it is here") {
  FollowerFixture Test;
  REQUIRE(Test.runUntil([&] { return Test.Store_.calls("/-/kv-txn") == 1; }));
  Test.Store_.BytesPerSecond_ = 100000;
  Test.Store_.put("op/config", largeConfiguration(5, 60000));
  auto IsOverdue = [&] { return Test.Freshness_.overdue(BootClock::now()); };
  CHECK(Test.runUntil(IsOverdue));
  CHECK(Test.version() == DocumentVersion(3));
  CHECK(Test.runUntil([&] { return Test.version() == DocumentVersion(5); }));
  CHECK(Test.runUntil([&] { return !IsOverdue(); }));
}

// An outage right after a change must not make the configuration overdue, which
// would stop requests that need no confirmation.
TEST_CASE("a change that was reported before an outage makes nothing overdue") {
  FollowerFixture Test;
  REQUIRE(Test.runUntil([&] { return Test.Store_.calls("/-/kv-txn") == 1; }));
  Test.Store_.DropWatchEvents_ = true;
  Test.runFor(milliseconds(30));
  auto Calls = Test.Store_.calls("/-/kv-range");
  Test.Store_.put("servers/i-1", serverEntry("draining"));
  REQUIRE(Test.runUntil(
      [&] { return Test.Store_.calls("/-/kv-range") > Calls + 1; }));
  Test.Store_.FailWith_ = 503;
  Test.runFor(2 * ApplyBound);
  CHECK_FALSE(Test.Freshness_.overdue(BootClock::now()));
}

TEST_CASE("a server that was removed while another daemon was followed is gone "
          "with the first list, unless an outage may have let it expire") {
  // The followed daemon is behind for a second, and a server is removed. This
  // daemon then reads the service, which worked all the time. If every return
  // to the service after an outdated response counted as the end of an outage
  // in which entries expire, requests would be sent to the server seconds after
  // the service reported it gone. No entry expires in so short an outage.
  constexpr milliseconds Watch{2000};
  FollowerFixture Short(Watch, milliseconds(60000));
  REQUIRE(Short.runUntil([&] { return Short.isActive("i-1"); }));
  REQUIRE(Short.runUntil([&] { return Short.Store_.calls("/-/kv-txn") == 1; }));
  Short.Follower_->pause();
  Short.Store_.remove("servers/i-1");
  Short.resume(true);
  CHECK(Short.servers() == 0);

  FollowerFixture Long(Watch, milliseconds(50));
  REQUIRE(Long.runUntil([&] { return Long.isActive("i-1"); }));
  REQUIRE(Long.runUntil([&] { return Long.Store_.calls("/-/kv-txn") == 1; }));
  Long.Follower_->pause();
  Long.runFor(milliseconds(100));
  Long.Store_.remove("servers/i-1");
  Long.resume(true);
  CHECK(Long.servers() == 1);
  CHECK(Long.runUntil([&] { return Long.servers() == 0; }));
}

TEST_CASE("an outage is over for a daemon that follows one that reads again") {
  // The service fails, and the daemon follows another one that reads it again.
  // Long after the outage a server is removed, and this daemon reads the
  // service again. If the outage ended only with this daemon's own next list,
  // requests would be sent to the server seconds after the service reported it
  // gone, even minutes after the outage.
  FollowerFixture Test;
  REQUIRE(Test.runUntil([&] { return Test.isActive("i-1"); }));
  Test.Store_.FailWith_ = 503;
  REQUIRE(Test.runUntil([&] { return !Test.Follower_->platformReachable(); }));
  Test.Follower_->pause();
  Test.Store_.FailWith_ = 0;
  // Longer than servers whose entries expired may take to register again.
  Test.runFor(milliseconds(300));
  Test.Store_.remove("servers/i-1");
  Test.resume(false);
  CHECK(Test.servers() == 0);
}

TEST_CASE("a daemon whose follower fails follows again") {
  // Guards against a daemon that is behind until its view is confirmed again.
  FollowerFixture Test(milliseconds(2000),
                       StoreFollower::Options().EarliestExpiry_,
                       std::chrono::hours(1));
  REQUIRE(Test.runUntil([&] { return Test.isActive("i-1"); }));
  int Faults = 1;
  Test.Changed_ = [&] {
    if (Faults-- > 0)
      throw std::runtime_error("a fault of the program");
  };
  Test.Store_.put("op/config", configuration(5));
  CHECK(Test.runUntil([&] { return Test.version() == DocumentVersion(5); }));
  Test.Store_.put("servers/i-1", serverEntry("draining"));
  CHECK(Test.runUntil([&] { return !Test.isActive("i-1"); }));
}

// Another writer's configuration of version 1e300 was taken as version 2^64-1,
// so none that followed became active.
TEST_CASE("a configuration of a version out of range stays out, and the next "
          "good one is followed") {
  FollowerFixture Test;
  int Version = 3;
  REQUIRE(Test.runUntil([&] { return Test.isActive("i-1"); }));
  for (const std::string &Number : OddNumbers) {
    // 0 is a version, only older than what is active.
    CAPTURE(Number);
    std::string Odd = configuration(Version);
    auto Member = fmt::format(R"("version":{})", Version);
    Odd.replace(Odd.find(Member), Member.size(), "\"version\":" + Number);
    Test.Store_.put("op/config", Odd);
    Test.Store_.put("servers/i-2", serverEntry("ready", 81));
    REQUIRE(Test.runUntil([&] { return Test.isActive("i-2"); }));
    CHECK(Test.version().count() == static_cast<std::uint64_t>(Version));
    Test.Store_.put("op/config", configuration(++Version));
    CHECK(Test.runUntil([&] {
      return Test.version().count() == static_cast<std::uint64_t>(Version);
    }));
    CHECK(Test.Freshness_.valid(BootClock::now()));
    Test.Store_.remove("servers/i-2");
    REQUIRE(Test.runUntil([&] { return Test.servers() == 1; }));
  }
}

TEST_CASE("an odd entry among good ones hides no later change") {
  // An entry whose value the store's answers can't carry made each list and
  // each watch fail: the daemon followed nothing as long as the entry stood.
  constexpr std::size_t Levels = 200000;
  for (const std::string &Odd :
       {std::string("?"), std::string("\xff\xfe"), std::string(),
        std::string(Levels, '[') + std::string(Levels, ']')})
    for (bool Listed : {false, true})
      for (const std::string &Key :
           {std::string("servers/i-2"), std::string("op/config"),
            std::string("samphireshunt/daemons/vm-1"),
            std::string("op/rollout/s"), std::string("other/k")}) {
        CAPTURE(Key);
        CAPTURE(Listed);
        FollowerFixture Test;
        REQUIRE(Test.runUntil([&] { return Test.isActive("i-1"); }));
        Test.Store_.put("servers/i-2", serverEntry("ready", 81));
        REQUIRE(Test.runUntil([&] { return Test.isActive("i-2"); }));
        if (Odd == "?")
          Test.Store_.OddItems_[Key] = "no base64!";
        Test.Store_.put(Key, Odd);
        if (Listed)
          Test.resume(false);
        Test.Store_.put("servers/i-3", serverEntry("ready", 82));
        Test.Store_.put("servers/i-1", serverEntry("draining"));
        CHECK(Test.runUntil(
            [&] { return Test.isActive("i-3") && !Test.isActive("i-1"); }));
        // An entry that an odd one overwrites names no server any more.
        CHECK(Test.isActive("i-2") == (Key != "servers/i-2"));
        CHECK(Test.version() == DocumentVersion(3));
        Test.Store_.OddItems_.clear();
        Test.Store_.put("op/config", configuration(5));
        CHECK(Test.runUntil(
            [&] { return Test.version() == DocumentVersion(5); }));
      }
}

TEST_CASE("a list with an item without a key removes no server") {
  FollowerFixture Test;
  REQUIRE(Test.runUntil([&] { return Test.isActive("i-1"); }));
  Test.Store_.OddItems_["servers/i-1"] = "";
  Test.Store_.put("servers/i-4", serverEntry("ready", 83));
  Test.resume(false);
  REQUIRE(Test.runUntil([&] { return Test.isActive("i-4"); }));
  Test.runFor(milliseconds(300));
  CHECK(Test.isActive("i-1"));
}

namespace {

constexpr std::size_t MaxHeld = 20000;

/// A follower that holds values of MaxHeld bytes.
FollowerFixture withLittleMemory() {
  return FollowerFixture(
      milliseconds(2000), StoreFollower::Options().EarliestExpiry_,
      milliseconds(100), milliseconds(150), StoreLimits{MaxHeld});
}

} // namespace

TEST_CASE("a configuration that is too large to be held hides no server that "
          "leaves") {
  // The whole answer with it was refused, which counted as a lost service: no
  // server that left was seen, and nothing could be confirmed any more.
  for (bool Listed : {false, true}) {
    CAPTURE(Listed);
    FollowerFixture Test = withLittleMemory();
    Test.Store_.put("servers/i-2", serverEntry("ready", 81));
    REQUIRE(Test.runUntil([&] { return Test.servers() == 2; }));
    Test.Store_.put("op/config", largeConfiguration(5, 3 * MaxHeld));
    if (Listed)
      Test.resume(false);
    Test.Store_.put("servers/i-1", serverEntry("draining"));
    CHECK(Test.runUntil([&] { return !Test.isActive("i-1"); }));
    Test.Store_.remove("servers/i-2");
    CHECK(Test.runUntil([&] { return !Test.isActive("i-2"); }));
    BootTime Now = BootClock::now();
    CHECK(Test.runUntil([&] { return Test.Follower_->reachedAt() >= Now; }));
    CHECK(Test.Follower_->platformReachable());
    CHECK(Test.version() == DocumentVersion(3));
    Test.Store_.put("op/config", configuration(6));
    CHECK(Test.runUntil([&] { return Test.version() == DocumentVersion(6); }));
  }
}

TEST_CASE("a configuration that is too large makes the active one overdue, "
          "until one is held") {
  // What it says is unknown: it may revoke keys and drop routes.
  FollowerFixture Test = withLittleMemory();
  auto IsFresh = [&] { return Test.Freshness_.valid(BootClock::now()); };
  auto IsOverdue = [&] { return Test.Freshness_.overdue(BootClock::now()); };
  REQUIRE(Test.runUntil(IsFresh));
  CHECK_FALSE(IsOverdue());
  Test.Store_.put("op/config", largeConfiguration(5, 3 * MaxHeld));
  CHECK(Test.runUntil(IsOverdue));
  CHECK(Test.runUntil([&] { return !IsFresh(); }));
  Test.Store_.put("servers/i-1", serverEntry("draining"));
  REQUIRE(Test.runUntil([&] { return !Test.isActive("i-1"); }));
  CHECK(IsOverdue());
  Test.Store_.put("op/config", configuration(6));
  CHECK(Test.runUntil([&] { return IsFresh() && !IsOverdue(); }));
  CHECK(Test.version() == DocumentVersion(6));
}

TEST_CASE("a server's entry that is too large gives it no new work") {
  FollowerFixture Test = withLittleMemory();
  Test.Store_.put("servers/i-2", serverEntry("ready", 81));
  REQUIRE(Test.runUntil([&] { return Test.servers() == 2; }));
  Test.Store_.put("servers/i-1", std::string(3 * MaxHeld, 'x'));
  CHECK(Test.runUntil([&] { return !Test.isActive("i-1"); }));
  CHECK(Test.isActive("i-2"));
  CHECK(Test.runUntil([&] { return Test.Freshness_.valid(BootClock::now()); }));
}
