/// \file
/// Tests how a daemon carries out a roll-out: what it writes when the
/// platform's service is away, and what it reports when the owner changes.

#include "Process/Rollout/RolloutService.h"

#include "Connection/PeerMessage.h"

#include <doctest/doctest.h>

#include <functional>
#include <map>

using namespace samphireshunt;
using std::chrono::milliseconds;

namespace {

const VmId Self("self");
const PoolName ThePool("p");
const ServiceName Service("s");

BackendServer server(const std::string &Name, const std::string &Version) {
  BackendServer Built;
  Built.Name_ = ServerName(Name);
  Built.Version_ = SoftwareVersion(Version);
  return Built;
}

/// One daemon, a service that may be away, and an owner that may change.
class OneDaemon {
public:
  OneDaemon()
      : Rollouts_(Control_, Self, Service, layout(), options(), hooks()) {}

  void order() {
    KeyValue Entry{"order/p", "v2", {StoreEra(1), Revision(5)}, false};
    Rollouts_.entryChanged(Entry);
  }
  /// Runs until \p Done returns true, for 10 s at most. \returns its result.
  bool runUntil(const std::function<bool()> &Done) {
    auto End = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (!Done() && std::chrono::steady_clock::now() < End) {
      Control_.restart();
      Control_.run_for(milliseconds(5));
    }
    return Done();
  }

  boost::asio::io_context Control_;
  bool Away_ = false;
  VmId Owner_ = Self;
  std::map<std::string, KeyValue> Stored_;
  std::vector<wire::EnvelopeT> Sent_;
  RolloutService Rollouts_;

private:
  static RolloutLayout layout() {
    RolloutLayout Layout;
    Layout.OrderPrefix_ = "order/";
    Layout.RecordPrefix_ = "record/";
    Layout.StatusPrefix_ = "status/";
    Layout.ReadOrder_ = [](const std::string &Name,
                           const std::string &Value) -> Result<RolloutOrder> {
      return RolloutOrder{PoolName(Name), SoftwareVersion(Value),
                          std::chrono::seconds(60)};
    };
    Layout.WriteStatus_ = [](const PoolName &, const RolloutRecord &Record) {
      return std::string(rolloutStageName(Record.Stage_));
    };
    return Layout;
  }
  static RolloutService::Options options() {
    RolloutService::Options Options;
    Options.ReportInterval_ = milliseconds(5);
    return Options;
  }
  RolloutService::Hooks hooks() {
    RolloutService::Hooks Hooks;
    Hooks.Put_ = [this](KeyValueWrite Write) { return put(std::move(Write)); };
    Hooks.KeeperOf_ = [this](const CellId &) { return Owner_; };
    Hooks.CellCount_ = [](const PoolName &) { return 1; };
    Hooks.Send_ = [this](const VmId &, std::string Message) {
      Sent_.push_back(decodeMessage(Message).value());
    };
    Hooks.Reply_ = [](const VmId &, std::string) {};
    Hooks.SelectionChanged_ = [] {};
    Hooks.IsCurrent_ = [this] { return !Away_; };
    Hooks.LiveShare_ = [] { return 1.0; };
    Hooks.CountRunning_ = [](const PoolName &, const auto &) { return 0; };
    return Hooks;
  }
  /// Goes away after it has stored a state, before its status.
  Awaitable<Result<StorePosition>> put(KeyValueWrite Write) {
    if (Away_)
      co_return Failure{ResultCode::PlatformUnavailable, "away"};
    StorePosition At{StoreEra(1), Revision(10 + Stored_.size())};
    Stored_[Write.Key_] = {Write.Key_, Write.Value_, At, false};
    Away_ = Write.Key_ == "record/p";
    co_return At;
  }
};

} // namespace

TEST_CASE("a status is written when the platform's service is back") {
  // Guards against a roll-out that has ended and says so to nobody: the service
  // was away just after the state was written, and nothing happens afterwards
  // that would let the owner look again.
  OneDaemon Daemon;
  Daemon.Rollouts_.select({{ThePool, {server("a", "v2")}}});
  Daemon.order();
  REQUIRE(Daemon.runUntil([&] { return Daemon.Away_; }));
  REQUIRE(!Daemon.Stored_.contains("status/p"));
  Daemon.Away_ = false;
  REQUIRE(Daemon.runUntil([&] { return Daemon.Stored_.contains("status/p"); }));
  CHECK(Daemon.Stored_["status/p"].Value_ == "completed");
}

TEST_CASE("a new owner is sent all outcomes") {
  // Guards against evidence that is lost with the owner that had it.
  OneDaemon Daemon;
  Daemon.Owner_ = VmId("first");
  Daemon.Rollouts_.select({{ThePool, {server("a", "v1"), server("b", "v2")}}});
  Daemon.order();
  RolloutRecord Trial;
  Trial.Target_ = SoftwareVersion("v2");
  Trial.Order_ = {StoreEra(1), Revision(5)};
  Trial.Base_ = {SoftwareVersion("v1")};
  Trial.Canaries_ = {ServerName("b")};
  Daemon.Rollouts_.entryChanged(
      {"record/p", Trial.encode(), {StoreEra(1), Revision(6)}, false});
  Daemon.Rollouts_.granted({Service, ThePool, 0}, ServerName("b"));
  RunningRequest Request;
  Request.Server_ = ServerName("b");
  ServedSample Failed;
  Failed.Reached_ = true;
  Failed.Faulty_ = true;
  Daemon.Rollouts_.ended({Service, ThePool, 0}, Request, Failed);
  constexpr std::size_t SeveralReports = 3;
  REQUIRE(
      Daemon.runUntil([&] { return Daemon.Sent_.size() >= SeveralReports; }));
  auto OutcomesOf = [](const wire::EnvelopeT &Message) {
    return Message.body.AsRolloutReport()->outcomes.size();
  };
  CHECK(OutcomesOf(Daemon.Sent_.front()) == 1);
  CHECK(OutcomesOf(Daemon.Sent_.back()) == 0); // Unchanged since.
  Daemon.Sent_.clear();
  Daemon.Owner_ = VmId("second");
  REQUIRE(Daemon.runUntil([&] { return !Daemon.Sent_.empty(); }));
  CHECK(OutcomesOf(Daemon.Sent_.front()) == 1);
}
