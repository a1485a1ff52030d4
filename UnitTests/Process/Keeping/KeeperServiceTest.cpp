/// \file
/// Tests a keeper's cells while ingress daemons disconnect, reconnect and die.

#include "Process/Keeping/KeeperService.h"

#include "UnitTests/Process/Keeping/LoneKeeper.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <map>

using namespace samphireshunt;

namespace {

const ServiceName Service("s");
const PoolName ThePool("p");
const CellId Cell{Service, ThePool, 0};
const VmId Ingress("entry");
/// The allotment of the customer "limited".
const Allotment Allowed{10, 1, false, Tokens(0)};

/// A keeper of one engine with one slot.
class OneEngineKeeper {
public:
  OneEngineKeeper()
      : Keeper_(Control_, withOneEngine(Documents_), options(), hooks()) {}

  void requestGrant(std::uint64_t Number, const CellId &Target = Cell) {
    Keeper_.requestGrant(Target, makeRequest(Number));
    settle();
  }
  static GrantRequest makeRequest(std::uint64_t Number) {
    GrantRequest Request;
    Request.Id_ = {1, Number};
    Request.Customer_ = CustomerName("c");
    Request.Deadline_ =
        std::chrono::steady_clock::now() + std::chrono::hours(1);
    Request.Ingress_ = Ingress;
    return Request;
  }
  /// Runs all posted handlers.
  void settle() {
    Control_.restart();
    Control_.poll();
  }
  bool granted(std::uint64_t Number) const {
    return std::ranges::count(Granted_, RequestId{1, Number}) > 0;
  }
  /// Returns the number of decisions and orphans reported to the hooks during
  /// \p Call, and the number reported afterwards by the posted handlers.
  std::pair<int, int>
  notificationsDuringAndAfter(const std::function<void()> &Call) {
    int Before = Notifications_;
    Call();
    int During = Notifications_;
    settle();
    return {During - Before, Notifications_ - During};
  }
  /// Activates a configuration in which the only engine is leaving.
  void letEngineLeave() {
    adopt(Documents_, DocumentVersion(2), true);
    Keeper_.refresh();
  }

  boost::asio::io_context Control_;
  DocumentStore Documents_;
  std::vector<RequestId> Granted_;
  std::vector<RequestId> Orphans_;
  std::map<RequestId, ResultCode> Refused_;
  int Notifications_ = 0;
  KeeperService Keeper_;

private:
  /// Disables the pauses between rounds, because their length would differ from
  /// run to run, and releases the slots of a disconnected ingress daemon at the
  /// next tick.
  static KeeperService::Options options() {
    KeeperService::Options Options;
    Options.RoundPauseFactor_ = 0;
    Options.SlotGrace_ = std::chrono::milliseconds(0);
    return Options;
  }
  static DocumentStore &withOneEngine(DocumentStore &Documents) {
    adopt(Documents, DocumentVersion(1), false);
    return Documents;
  }
  static void adopt(DocumentStore &Documents, DocumentVersion Version,
                    bool Leaving) {
    Document Built;
    Built.Service_ = Service;
    Built.Tiers_ = {"0", "1"};
    Pool Target;
    Target.Name_ = ThePool;
    BackendServer Engine;
    Engine.Name_ = ServerName("engine");
    Engine.MaxInFlight_ = 1;
    Engine.Leaving_ = Leaving;
    Target.Servers_.push_back(Engine);
    Built.Pools_.push_back(std::move(Target));
    Customer Limited;
    Limited.Name_ = CustomerName("limited");
    Limited.Allotment_ = Allowed;
    Built.Customers_.push_back(std::move(Limited));
    Built.buildIndex();
    Documents.adopt(Service, Version,
                    std::make_shared<const Document>(std::move(Built)));
  }
  KeeperService::Hooks hooks() {
    KeeperService::Hooks Hooks = tests::loneKeeperHooks();
    Hooks.Decided_ = [this](const CellId &, const Decision &Made) {
      ++Notifications_;
      if (const auto *Grant = std::get_if<GrantDecision>(&Made))
        Granted_.push_back(Grant->Id_);
      if (const auto *Refusal = std::get_if<RefuseDecision>(&Made))
        Refused_[Refusal->Id_] = Refusal->Code_;
    };
    Hooks.Orphaned_ = [this](const OrphanedRequest &Orphan) {
      ++Notifications_;
      Orphans_.push_back(Orphan.Request_.Id_);
    };
    return Hooks;
  }
};

} // namespace

TEST_CASE("a new link of an ingress daemon frees the slots of requests that "
          "ended while its old link was broken") {
  // After a pause of a keeper, every request would be refused although its
  // engines are idle, with running=20 in the log. The link of an ingress daemon
  // to the paused keeper breaks, and the ends of its requests are reported to
  // another keeper; seconds later it reconnects. The reconnection does not mean
  // that its earlier requests still run.
  OneEngineKeeper Paused;
  Paused.requestGrant(1);
  REQUIRE(Paused.granted(1));
  Paused.Keeper_.ingressDisconnected(Ingress);
  Paused.Keeper_.ingressReconnected(Ingress);
  Paused.requestGrant(2);
  CHECK(Paused.granted(2));
}

TEST_CASE("a request reported as running on a new link takes its slot again") {
  OneEngineKeeper Paused;
  Paused.requestGrant(1);
  Paused.Keeper_.ingressDisconnected(Ingress);
  Paused.Keeper_.ingressReconnected(Ingress);
  RunningRequest Running;
  Running.Id_ = {1, 1};
  Running.Server_ = ServerName("engine");
  Running.Ingress_ = Ingress;
  Paused.Keeper_.running(Cell, Running);
  Paused.requestGrant(2);
  CHECK_FALSE(Paused.granted(2));
  // The request continues at its ingress daemon, so it must not be cancelled.
  CHECK(Paused.Orphans_.empty());
}

TEST_CASE(
    "a keeper that does not know a cell's pool answers NotReady, instead of "
    "reporting no engines") {
  OneEngineKeeper Keeper;
  Keeper.requestGrant(1, {ServiceName("unknown"), ThePool, 0});
  Keeper.requestGrant(2, {Service, PoolName("unknown"), 0});
  CHECK(Keeper.Refused_[{1, 1}] == ResultCode::NotReady);
  CHECK(Keeper.Refused_[{1, 2}] == ResultCode::NotReady);
}

TEST_CASE(
    "decisions are delivered after the call that makes them has returned") {
  // Daemons would crash on freed memory a few milliseconds after the log event
  // "adopted". A new configuration makes a keeper iterate over its cells and
  // decide. If a grant were delivered on that stack, its receiver would call
  // back and change the tables during the iteration.
  OneEngineKeeper Daemon;
  KeeperService &Keeper = Daemon.Keeper_;
  Daemon.requestGrant(1);
  REQUIRE(Daemon.granted(1));
  GrantRequest Waiting = OneEngineKeeper::makeRequest(2);
  Waiting.Ingress_ = VmId("other");
  Waiting.Tier_ = TierIndex(1);
  Keeper.requestGrant(Cell, Waiting);
  Daemon.settle();
  REQUIRE_FALSE(Daemon.granted(2));
  std::function<void()> Decide;
  SUBCASE("a grant request") {
    Decide = [&] {
      Keeper.requestGrant({ServiceName("unknown"), ThePool, 0},
                          OneEngineKeeper::makeRequest(3));
    };
  }
  SUBCASE("a withdrawal") {
    Decide = [&] { Keeper.withdraw(Cell, {1, 1}, AskNumber()); };
  }
  SUBCASE("the end of a request") {
    Decide = [&] { Keeper.done(Cell, {1, 1}, ServedSample(), AskNumber()); };
  }
  SUBCASE("a returned grant") {
    Decide = [&] { Keeper.returnGrant({1, 1}, AskNumber()); };
  }
  SUBCASE("a new link of an ingress daemon") {
    Decide = [&] { Keeper.ingressReconnected(Ingress); };
  }
  SUBCASE("the death of an ingress daemon") {
    Decide = [&] { Keeper.ingressDied(Ingress); };
  }
  SUBCASE("the admission floor of another keeper") {
    auto Until = std::chrono::steady_clock::now() + std::chrono::hours(1);
    Decide = [&Keeper, Until] {
      Keeper.onRemoteFloor({Service, ThePool, TierIndex(0), Until});
    };
  }
  SUBCASE("a new configuration") {
    Decide = [&] { Daemon.letEngineLeave(); };
  }
  auto [During, After] = Daemon.notificationsDuringAndAfter(Decide);
  CHECK(During == 0);
  CHECK(After > 0);
}

TEST_CASE("a grant that is taken back before it is told is not told") {
  // If the grant were delivered although its slot was granted to another
  // request meanwhile, two requests would share one slot of an engine.
  OneEngineKeeper Daemon;
  Daemon.Keeper_.requestGrant(Cell, OneEngineKeeper::makeRequest(1));
  SUBCASE("its request is withdrawn") {
    Daemon.Keeper_.withdraw(Cell, {1, 1}, AskNumber());
  }
  SUBCASE("its ingress daemon has a new link") {
    Daemon.Keeper_.ingressReconnected(Ingress);
  }
  Daemon.requestGrant(2);
  CHECK_FALSE(Daemon.granted(1));
  CHECK(Daemon.granted(2));
}

TEST_CASE("a grant that is taken back before it is told uses no allotment") {
  OneEngineKeeper Daemon;
  Daemon.Keeper_.refresh();
  GrantRequest Request = OneEngineKeeper::makeRequest(0);
  Request.Customer_ = CustomerName("limited");
  auto Granted = [&] {
    return Daemon.Keeper_.scheduler(Cell)->findRunning(Request.Id_).has_value();
  };
  // The allotment is initially empty, and fills within a tenth of a second.
  auto End = std::chrono::steady_clock::now() + std::chrono::seconds(10);
  while (!Granted() && std::chrono::steady_clock::now() < End) {
    Daemon.settle();
    ++Request.Id_.Sequence_;
    Daemon.Keeper_.requestGrant(Cell, Request);
  }
  REQUIRE(Granted());
  SUBCASE("its request is withdrawn") {
    Daemon.Keeper_.withdraw(Cell, Request.Id_, AskNumber());
  }
  SUBCASE("its ingress daemon has a new link") {
    Daemon.Keeper_.ingressReconnected(Ingress);
  }
  Daemon.settle();
  ++Request.Id_.Sequence_;
  Daemon.Keeper_.requestGrant(Cell, Request);
  CHECK(Granted());
}

TEST_CASE("grants that are delivered use their allotment") {
  OneEngineKeeper Daemon;
  auto Begin = std::chrono::steady_clock::now();
  Daemon.Keeper_.refresh();
  GrantRequest Request = OneEngineKeeper::makeRequest(0);
  Request.Customer_ = CustomerName("limited");
  std::chrono::duration<double> Elapsed{0};
  constexpr std::chrono::milliseconds TimeOfThree{300};
  while (Daemon.Granted_.empty() || Elapsed < TimeOfThree) {
    ++Request.Id_.Sequence_;
    Daemon.Keeper_.requestGrant(Cell, Request);
    Daemon.settle();
    Daemon.Keeper_.withdraw(Cell, Request.Id_, AskNumber());
    Elapsed = std::chrono::steady_clock::now() - Begin;
  }
  auto Max = Allowed.Burst_ + Allowed.PerSecond_ * Elapsed.count();
  CHECK(static_cast<double>(Daemon.Granted_.size()) <= Max);
}

namespace {

const VmId OtherIngress("other-entry");

void askFrom(OneEngineKeeper &Keeper, const VmId &From, std::uint64_t Number) {
  GrantRequest Request;
  Request.Id_ = {1, Number};
  Request.Customer_ = CustomerName("c");
  Request.Deadline_ = std::chrono::steady_clock::now() + std::chrono::hours(1);
  Request.Ingress_ = From;
  Keeper.Keeper_.requestGrant(Cell, std::move(Request));
  Keeper.Control_.poll();
}

/// Runs handlers until the request is granted, or for far longer than that may
/// take.
bool grantedInTime(OneEngineKeeper &Keeper, std::uint64_t Number) {
  auto End = std::chrono::steady_clock::now() + std::chrono::seconds(10);
  while (!Keeper.granted(Number) && std::chrono::steady_clock::now() < End)
    Keeper.Control_.run_one_for(std::chrono::milliseconds(10));
  return Keeper.granted(Number);
}

} // namespace

TEST_CASE("a request waiting for an entry whose link broke gets no place") {
  // If a keeper is suspended for a second, its ingress daemons close their
  // links and use another keeper. Their earlier requests are still unread, and
  // would get the slots when the keeper continues. Nobody would end those
  // grants: the requests of the keeper's own callers would wait until their
  // deadlines (log event "refused" with code=200, waiting=9, running=1) with an
  // idle engine.
  OneEngineKeeper Paused;
  askFrom(Paused, Ingress, 1);
  askFrom(Paused, Ingress, 2);
  askFrom(Paused, OtherIngress, 3);
  REQUIRE(Paused.granted(1));
  Paused.Keeper_.ingressDisconnected(Ingress);
  Paused.Keeper_.done(Cell, {1, 1}, ServedSample(), AskNumber());
  CHECK(grantedInTime(Paused, 3));
  CHECK_FALSE(Paused.granted(2));
}

TEST_CASE(
    "the place of an entry whose link broke is granted to a waiting request") {
  // The same failure for requests that the keeper granted before it was
  // suspended: they ended meanwhile, which their ingress daemon reported to
  // another keeper.
  OneEngineKeeper Paused;
  askFrom(Paused, Ingress, 1);
  askFrom(Paused, OtherIngress, 2);
  REQUIRE(Paused.granted(1));
  Paused.Keeper_.ingressDisconnected(Ingress);
  CHECK(grantedInTime(Paused, 2));
  CHECK(Paused.Orphans_.empty());
  SUBCASE("its requests are cancelled at their engines if the ingress daemon "
          "dies") {
    Paused.Keeper_.ingressDied(Ingress);
    Paused.Control_.poll();
    CHECK(Paused.Orphans_ == std::vector<RequestId>{{1, 1}});
  }
  SUBCASE("its requests are not cancelled if it reconnects") {
    Paused.Keeper_.ingressReconnected(Ingress);
    Paused.Keeper_.ingressDied(Ingress);
    Paused.Control_.poll();
    CHECK(Paused.Orphans_.empty());
  }
}

namespace {

/// A keeper of one engine, asked by numbered asks of one request.
class NumberedAsks : public OneEngineKeeper {
public:
  void ask(std::uint64_t Number, std::vector<ServerName> Excluded = {}) {
    GrantRequest Request = makeRequest(1);
    Request.Ask_ = AskNumber(Number);
    Request.Excluded_ = std::move(Excluded);
    Keeper_.requestGrant(Cell, std::move(Request));
    settle();
  }
  std::size_t running() const { return Keeper_.scheduler(Cell)->running(); }
  std::size_t waiting() const { return Keeper_.scheduler(Cell)->waiting(); }
};

const RequestId Asked{1, 1};

} // namespace

TEST_CASE("an ask that comes twice is granted once") {
  // Guards against a slot that is taken twice, or given to others while the
  // request uses it.
  NumberedAsks Test;
  Test.ask(2);
  REQUIRE(Test.Granted_.size() == 1);
  Test.ask(2);
  Test.ask(1);
  CHECK(Test.Granted_.size() == 1);
  CHECK(Test.running() == 1);
}

TEST_CASE("what is late of an earlier ask does not act on a later one") {
  // Guards against a slot that is given to others while the later ask's request
  // uses it, and against a request that is forgotten while it waits.
  NumberedAsks Test;
  SUBCASE("that was granted") { Test.ask(2); }
  SUBCASE("that waits") {
    Test.requestGrant(2);
    Test.ask(2);
    REQUIRE(Test.waiting() == 1);
  }
  std::size_t Running = Test.running();
  std::size_t Waiting = Test.waiting();
  Test.Keeper_.withdraw(Cell, Asked, AskNumber(1));
  Test.Keeper_.done(Cell, Asked, ServedSample(), AskNumber(1));
  Test.Keeper_.returnGrant(Asked, AskNumber(1));
  RunningRequest Late;
  Late.Id_ = Asked;
  Late.Server_ = ServerName("elsewhere");
  Late.Ask_ = AskNumber(1);
  Test.Keeper_.running(Cell, Late);
  Test.settle();
  CHECK(Test.running() == Running);
  CHECK(Test.waiting() == Waiting);
}

TEST_CASE("what names a later ask than is known ends the earlier one") {
  // Guards against a slot that stays taken after the later ask was lost.
  NumberedAsks Test;
  Test.ask(1);
  REQUIRE(Test.running() == 1);
  SUBCASE("withdrawn") { Test.Keeper_.withdraw(Cell, Asked, AskNumber(2)); }
  SUBCASE("ended") {
    Test.Keeper_.done(Cell, Asked, ServedSample(), AskNumber(2));
  }
  SUBCASE("returned") { Test.Keeper_.returnGrant(Asked, AskNumber(2)); }
  CHECK(Test.running() == 0);
}

TEST_CASE("a later ask takes the place of one that waits") {
  // Guards against a grant for a server that has refused the request since.
  NumberedAsks Test;
  Test.requestGrant(2);
  Test.ask(1);
  REQUIRE(Test.waiting() == 1);
  Test.ask(2, {ServerName("engine")});
  CHECK(Test.waiting() == 0);
  CHECK(Test.Refused_.at(Asked) == ResultCode::NoBackendServer);
  Test.Keeper_.done(Cell, {1, 2}, ServedSample(), AskNumber());
  Test.settle();
  CHECK_FALSE(Test.granted(1));
}

TEST_CASE("a grant is not delivered for an ask that was replaced") {
  // Guards against the same while the grant waits for its delivery.
  NumberedAsks Test;
  GrantRequest First = NumberedAsks::makeRequest(1);
  First.Ask_ = AskNumber(1);
  GrantRequest Second = First;
  Second.Ask_ = AskNumber(2);
  Test.Keeper_.requestGrant(Cell, First);
  Test.Keeper_.requestGrant(Cell, Second);
  Test.settle();
  CHECK(Test.Granted_.size() == 1);
}

TEST_CASE("an ask that takes the place of one that waits is charged once") {
  // Guards against a customer that pays for each ask of one request.
  NumberedAsks Test;
  Test.Keeper_.refresh();
  Test.requestGrant(2);
  std::uint64_t Number = 0;
  auto Ask = [&] {
    GrantRequest Request = NumberedAsks::makeRequest(1);
    Request.Customer_ = CustomerName("limited");
    Request.Ask_ = AskNumber(++Number);
    Test.Keeper_.requestGrant(Cell, Request);
    Test.settle();
  };
  // The allotment is initially empty, and holds one request.
  auto End = std::chrono::steady_clock::now() + std::chrono::seconds(10);
  while (Test.waiting() == 0 && std::chrono::steady_clock::now() < End)
    Ask();
  REQUIRE(Test.waiting() == 1);
  Test.Refused_.clear();
  for (int Again = 0; Again < 5; ++Again)
    Ask();
  CHECK(Test.waiting() == 1);
  CHECK(Test.Refused_.empty());
}
