/// \file
/// Tests the decisions of a roll-out's owner, with the load patterns of trials:
/// several keepers, owners that change, too few servers, and requests that run
/// long on the servers that are replaced.

#include "Process/Rollout/RolloutOwner.h"

#include <doctest/doctest.h>

using namespace samphireshunt;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const SoftwareVersion V1("v1");
const SoftwareVersion V2("v2");
const StorePosition OrderedAt{StoreEra(1), Revision(10)};
const TierIndex Tier(0);
const VmId Keeper("k1");
const VmId OtherKeeper("k2");

/// A pool of 24 servers and as many of the target version, and its owner.
class Trial {
public:
  explicit Trial(seconds Duration = seconds(21), std::size_t Targets = 24) {
    Versions_.select(servers(V1, 24), bootNow());
    Versions_.setOrder(RolloutOrder{PoolName("p"), V2, Duration}, OrderedAt);
    setTargets(Targets);
    step();
  }
  void setTargets(std::size_t Count) {
    auto All = servers(V1, 24);
    for (BackendServer &Server : servers(V2, Count))
      All.push_back(std::move(Server));
    Versions_.select(std::move(All), bootNow());
  }
  /// Applies all changes of the state that are due.
  void step() {
    while (auto Next = Owner_.next(Versions_, {Keeper, OtherKeeper}, now(),
                                   bootNow(), WallTime(Elapsed_) + Jump_))
      REQUIRE(Versions_.apply(*Next));
  }
  void pass(milliseconds Time) {
    Elapsed_ += Time;
    step();
  }
  RolloutStage stage() const { return Versions_.record()->Stage_; }
  std::size_t canaries() const { return Versions_.record()->Canaries_.size(); }
  std::uint64_t report(const VmId &From, KeeperCounts Counts,
                       double LiveShare = 1) {
    Counts.Stage_ = stage();
    return Owner_.onReport(From, std::move(Counts), 2, LiveShare, now());
  }
  /// Reports answers of the target version, of which \p Failed failed.
  void reportAnswers(std::uint64_t Runs, std::uint64_t Failed) {
    KeeperCounts Counts;
    Counts.Granted_ = Granted_ += 20 * Runs;
    Counts.Outcomes_[{ServerName(), Tier}] = {Granted_, 0, 0};
    for (const ServerName &Canary : Versions_.record()->Canaries_) {
      auto &Known = Outcomes_[{Canary, Tier}];
      Known += {Runs, Failed, 0};
    }
    Counts.Outcomes_.insert(Outcomes_.begin(), Outcomes_.end());
    report(Keeper, Counts);
  }
  /// Lets time pass in which the owner decides nothing.
  void expireReports() { Elapsed_ += seconds(2); }
  /// Lets the time of day jump.
  void jump(milliseconds Time) { Jump_ += Time; }
  TimePoint now() const { return TimePoint(seconds(1000) + Elapsed_); }
  BootTime bootNow() const { return BootTime(seconds(1000) + Elapsed_); }

  VersionSelection Versions_;
  RolloutOwner Owner_{RolloutOwner::Options(), OrderedAt};

private:
  static std::vector<BackendServer> servers(const SoftwareVersion &Version,
                                            std::size_t Count) {
    std::vector<BackendServer> All(Count);
    for (std::size_t Index = 0; Index < Count; ++Index) {
      All[Index].Name_ =
          ServerName(Version.str() + "-" + std::to_string(100 + Index));
      All[Index].Version_ = Version;
      All[Index].DataCenter_ =
          DataCenterName("dc-" + std::to_string(Index / (Count / 2 + 1)));
    }
    return All;
  }

  milliseconds Elapsed_{0};
  milliseconds Jump_{0};
  std::uint64_t Granted_ = 0;
  OutcomesByServer Outcomes_;
};

} // namespace

TEST_CASE("a trial begins with few servers, spread over the data centres") {
  // Guards against an exposure that is spread so thinly over all new servers
  // that none of them is loaded as in service.
  Trial Run;
  CHECK(Run.stage() == RolloutStage::Canary);
  REQUIRE(Run.canaries() == 2);
  std::set<DataCenterName> DataCenters;
  for (const ServerName &Canary : Run.Versions_.record()->Canaries_)
    DataCenters.insert(Run.Versions_.servers().at(Canary).DataCenter_);
  CHECK(DataCenters.size() == 2);
}

TEST_CASE("keepers together expose no more than the order allows") {
  // Guards against keepers that each use the whole allowance.
  Trial Run;
  RolloutOwner::Options Limits;
  std::map<VmId, KeeperCounts> Counts;
  for (int Round = 0; Round < 200; ++Round) {
    for (const VmId &Name : {Keeper, OtherKeeper}) {
      KeeperCounts &Known = Counts[Name];
      Known.Granted_ += 10;
      std::uint64_t Allowed = Run.report(Name, Known);
      Known.Exposed_ = std::max(Known.Exposed_, Allowed);
      Known.Granted_ = std::max(Known.Granted_, Known.Exposed_);
    }
    double Exposed = static_cast<double>(Run.Owner_.exposed());
    double All = static_cast<double>(Run.Owner_.granted());
    REQUIRE(Exposed <= Limits.ExposureShare_ * All + Limits.ExposureSlack_);
  }
  CHECK(Run.Owner_.exposed() > 100);
}

TEST_CASE("the two sides of a partition share the additional number") {
  Trial Whole;
  Trial Half;
  KeeperCounts None;
  CHECK(Whole.report(Keeper, None) == 15);
  CHECK(Half.report(Keeper, None, 0.5) == 8);
}

TEST_CASE("a good version takes over for the second half of the time") {
  Trial Run;
  Run.reportAnswers(100, 0);
  Run.pass(milliseconds(9900));
  CHECK(Run.stage() == RolloutStage::Canary);
  Run.pass(milliseconds(100));
  CHECK(Run.stage() == RolloutStage::Shifting);
}

TEST_CASE("the replaced servers stay until nothing runs there any more") {
  // Guards against answers that are cut when the operator stops these servers.
  Trial Run;
  Run.reportAnswers(100, 0);
  Run.pass(seconds(10));
  REQUIRE(Run.stage() == RolloutStage::Shifting);
  KeeperCounts Counts;
  Counts.RunningOnBase_ = 1;
  Run.pass(seconds(4));
  Run.report(Keeper, {});
  SUBCASE("a request still runs") { Run.report(OtherKeeper, Counts); }
  SUBCASE("a keeper has not reported") {}
  SUBCASE("a keeper's report is old") {
    // Its reports end while the other daemons don't know the new stage yet.
    Run.report(OtherKeeper, {});
    Run.expireReports();
    Run.report(Keeper, {});
  }
  Run.pass(milliseconds(100));
  CHECK(Run.stage() == RolloutStage::Shifting);
  Run.report(Keeper, {});
  Run.report(OtherKeeper, {});
  Run.pass(milliseconds(100));
  CHECK(Run.stage() == RolloutStage::Completed);
}

TEST_CASE("daemons that may not know the new stage keep the old servers") {
  // Guards against requests that such a daemon sends to servers that stop.
  Trial Run;
  Run.reportAnswers(100, 0);
  Run.pass(seconds(10));
  Run.report(Keeper, {});
  Run.report(OtherKeeper, {});
  Run.pass(milliseconds(500));
  CHECK(Run.stage() == RolloutStage::Shifting);
}

TEST_CASE("a bad version is reverted at once, in its trial and after it") {
  Trial Run;
  SUBCASE("in its trial") { Run.reportAnswers(10, 5); }
  SUBCASE("when all requests go there") {
    Run.reportAnswers(100, 0);
    Run.pass(seconds(10));
    REQUIRE(Run.stage() == RolloutStage::Shifting);
    KeeperCounts Counts;
    for (const auto &[Name, Server] : Run.Versions_.servers())
      if (Server.Version_ == V2)
        Counts.Outcomes_[{Name, Tier}] = {200, 80, 0};
    Run.report(OtherKeeper, Counts);
  }
  Run.step();
  CHECK(Run.stage() == RolloutStage::Reverted);
  CHECK(Run.report(Keeper, {}) == 0);
}

TEST_CASE("with little traffic the trial is longer, and then succeeds") {
  // Guards against orders that never end because the answers never come.
  Trial Run;
  Run.reportAnswers(3, 0);
  Run.pass(seconds(13));
  CHECK(Run.stage() == RolloutStage::Canary);
  Run.pass(seconds(1));
  CHECK(Run.stage() == RolloutStage::Shifting);
}

TEST_CASE("a version with too few servers does not take over") {
  // Guards against a service that is moved to servers that can't carry it.
  Trial Run(seconds(20), 5);
  Run.reportAnswers(100, 0);
  Run.pass(seconds(15));
  CHECK(Run.stage() == RolloutStage::Canary);
  SUBCASE("they come late") {
    Run.setTargets(24);
    Run.step();
    CHECK(Run.stage() == RolloutStage::Shifting);
  }
  SUBCASE("they don't come") {
    Run.pass(seconds(3));
    CHECK(Run.stage() == RolloutStage::Reverted);
  }
}

TEST_CASE("canaries that leave are replaced") {
  Trial Run;
  Run.setTargets(0);
  Run.step();
  CHECK(Run.canaries() == 0);
  Run.setTargets(4);
  Run.step();
  CHECK(Run.canaries() == 2);
}

TEST_CASE("an order for the version in service is completed at once") {
  VersionSelection Versions;
  BackendServer Only;
  Only.Name_ = ServerName("s");
  Only.Version_ = V2;
  Versions.select({Only}, BootTime(seconds(1000)));
  Versions.setOrder(RolloutOrder{PoolName("p"), V2, seconds(20)}, OrderedAt);
  RolloutOwner Owner(RolloutOwner::Options(), OrderedAt);
  auto Next = Owner.next(Versions, {Keeper}, TimePoint(seconds(1000)),
                         BootTime(seconds(1000)), WallTime(0));
  REQUIRE(Next);
  CHECK(Next->Stage_ == RolloutStage::Completed);
}

TEST_CASE("a withdrawn order is reverted") {
  Trial Run;
  Run.Versions_.setOrder(std::nullopt, {StoreEra(1), Revision(11)});
  Run.step();
  CHECK(Run.stage() == RolloutStage::Reverted);
}

TEST_CASE("a jump of the time of day neither shortens nor lengthens a trial") {
  // Guards against old servers that stop before all daemons know of it, and
  // trials without time for evidence, where the owner's clock is corrected.
  Trial Run;
  Run.reportAnswers(100, 0);
  Run.pass(seconds(2));
  SUBCASE("ahead") { Run.jump(seconds(9)); }
  SUBCASE("back") { Run.jump(-seconds(9)); }
  Run.pass(milliseconds(7900));
  CHECK(Run.stage() == RolloutStage::Canary);
  Run.pass(milliseconds(100));
  REQUIRE(Run.stage() == RolloutStage::Shifting);
  Run.jump(seconds(9));
  Run.pass(milliseconds(2900));
  Run.report(Keeper, {});
  Run.report(OtherKeeper, {});
  Run.step();
  CHECK(Run.stage() == RolloutStage::Shifting);
}
