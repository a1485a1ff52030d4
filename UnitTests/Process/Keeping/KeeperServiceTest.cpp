/// \file
/// A keeper's cells between entries that come and go.

#include "Process/Keeping/KeeperService.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <map>

using namespace samphireshunt;

namespace {

const ServiceName Service("s");
const PoolName ThePool("p");
const CellId Cell{Service, ThePool, 0};
const VmId Entry("entry");
/// Of the customer "limited".
const Allotment Allowed{10, 1, false, Tokens(0)};

/// A keeper of one engine with one place.
class OneEngineKeeper {
public:
  OneEngineKeeper()
      : Keeper_(Control_, withOneEngine(Documents_), options(), hooks()) {}

  void ask(std::uint64_t Number, const CellId &Of = Cell) {
    Keeper_.ask(Of, asked(Number));
    settle();
  }
  static AskedRequest asked(std::uint64_t Number) {
    AskedRequest Asked;
    Asked.Id_ = {1, Number};
    Asked.Customer_ = CustomerName("c");
    Asked.Deadline_ = std::chrono::steady_clock::now() + std::chrono::hours(1);
    Asked.Entry_ = Entry;
    return Asked;
  }
  /// Works off all that was posted.
  void settle() {
    Control_.restart();
    Control_.poll();
  }
  bool granted(std::uint64_t Number) const {
    return std::ranges::count(Granted_, RequestId{1, Number}) > 0;
  }
  /// How often others were told of something while \p Call ran, and by what was
  /// posted until then.
  std::pair<int, int> toldDuringAndAfter(const std::function<void()> &Call) {
    int Before = Told_;
    Call();
    int During = Told_;
    settle();
    return {During - Before, Told_ - During};
  }
  /// Puts a configuration in force whose only engine leaves.
  void letEngineLeave() {
    adopt(Documents_, DocumentVersion(2), true);
    Keeper_.refresh();
  }

  boost::asio::io_context Control_;
  DocumentStore Documents_;
  std::vector<RequestId> Granted_;
  std::vector<RequestId> Orphans_;
  std::map<RequestId, ResultCode> Refused_;
  int Told_ = 0;
  KeeperService Keeper_;

private:
  /// How long a round takes differs from run to run.
  static KeeperService::Options options() {
    KeeperService::Options Options;
    Options.RoundPause_ = 0;
    Options.PlaceGrace_ = std::chrono::milliseconds(0);
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
    KeeperService::Hooks Hooks;
    Hooks.Decided_ = [this](const CellId &, const Decision &Taken) {
      ++Told_;
      if (const auto *Grant = std::get_if<GrantDecision>(&Taken))
        Granted_.push_back(Grant->Id_);
      if (const auto *Refusal = std::get_if<RefuseDecision>(&Taken))
        Refused_[Refusal->Id_] = Refusal->Code_;
    };
    Hooks.Orphaned_ = [this](const OrphanedRequest &Orphan) {
      ++Told_;
      Orphans_.push_back(Orphan.Request_.Id_);
    };
    Hooks.AloneInFleet_ = [] { return true; };
    Hooks.IsKeeper_ = [](const CellId &) { return true; };
    Hooks.LiveShare_ = [] { return 1.0; };
    Hooks.FloorRaised_ = [] {};
    return Hooks;
  }
};

} // namespace

TEST_CASE("an entry's new link frees the places of what ended while its old "
          "one was broken") {
  // Symptom: after a keeper was paused, every request is refused although its
  // engines are idle; its lines say running=20.
  // Sequence: an entry runs requests; its link to the paused keeper breaks, and
  // the ends of its requests are told to another keeper; within seconds the
  // entry asks again on a new link.
  // Cause: the entry's return was taken for its requests' still running.
  OneEngineKeeper Paused;
  Paused.ask(1);
  REQUIRE(Paused.granted(1));
  Paused.Keeper_.entryGone(Entry);
  Paused.Keeper_.entryBack(Entry);
  Paused.ask(2);
  CHECK(Paused.granted(2));
}

TEST_CASE("what an entry says to run on its new link takes its place again") {
  OneEngineKeeper Paused;
  Paused.ask(1);
  Paused.Keeper_.entryGone(Entry);
  Paused.Keeper_.entryBack(Entry);
  RunningRequest Still;
  Still.Id_ = {1, 1};
  Still.Server_ = ServerName("engine");
  Still.Entry_ = Entry;
  Paused.Keeper_.running(Cell, Still);
  Paused.ask(2);
  CHECK_FALSE(Paused.granted(2));
  // It goes on at its entry: nobody cancels it.
  CHECK(Paused.Orphans_.empty());
}

TEST_CASE(
    "a keeper that does not know a cell's pool says so, instead of that it "
    "has no engines") {
  OneEngineKeeper Keeper;
  Keeper.ask(1, {ServiceName("unknown"), ThePool, 0});
  Keeper.ask(2, {Service, PoolName("unknown"), 0});
  CHECK(Keeper.Refused_[{1, 1}] == ResultCode::NotReady);
  CHECK(Keeper.Refused_[{1, 2}] == ResultCode::NotReady);
}

TEST_CASE("decisions are told after the call that makes them has returned") {
  // Daemons ended by themselves, with memory in use that was freed, 15 to 60 ms
  // after their lines "adopted": a new configuration makes a keeper walk
  // through its cells and decide. Whoever was told of a grant on that stack
  // called back, and changed what was walked through.
  OneEngineKeeper Kept;
  KeeperService &Keeper = Kept.Keeper_;
  Kept.ask(1);
  REQUIRE(Kept.granted(1));
  AskedRequest Waits = OneEngineKeeper::asked(2);
  Waits.Entry_ = VmId("other");
  Waits.Tier_ = TierIndex(1);
  Keeper.ask(Cell, Waits);
  Kept.settle();
  REQUIRE_FALSE(Kept.granted(2));
  std::function<void()> Decide;
  SUBCASE("an ask") {
    Decide = [&] {
      Keeper.ask({ServiceName("unknown"), ThePool, 0},
                 OneEngineKeeper::asked(3));
    };
  }
  SUBCASE("a withdrawal") {
    Decide = [&] { Keeper.withdraw(Cell, {1, 1}); };
  }
  SUBCASE("an end") {
    Decide = [&] { Keeper.done(Cell, {1, 1}, ServedSample()); };
  }
  SUBCASE("a grant that is handed back") {
    Decide = [&] { Keeper.handBack({1, 1}); };
  }
  SUBCASE("an entry's new link") {
    Decide = [&] { Keeper.entryBack(Entry); };
  }
  SUBCASE("an entry's death") {
    Decide = [&] { Keeper.entryDead(Entry); };
  }
  SUBCASE("another keeper's floor") {
    auto Until = std::chrono::steady_clock::now() + std::chrono::hours(1);
    Decide = [&Keeper, Until] {
      Keeper.floorSeen({Service, ThePool, TierIndex(0), Until});
    };
  }
  SUBCASE("a new configuration") {
    Decide = [&] { Kept.letEngineLeave(); };
  }
  auto [During, After] = Kept.toldDuringAndAfter(Decide);
  CHECK(During == 0);
  CHECK(After > 0);
}

TEST_CASE("a grant that is taken back before it is told is not told") {
  // Told although its place was given to another request meanwhile, it would
  // put two requests into one place of an engine.
  OneEngineKeeper Kept;
  Kept.Keeper_.ask(Cell, OneEngineKeeper::asked(1));
  SUBCASE("its request is withdrawn") { Kept.Keeper_.withdraw(Cell, {1, 1}); }
  SUBCASE("its entry has a new link") { Kept.Keeper_.entryBack(Entry); }
  Kept.ask(2);
  CHECK_FALSE(Kept.granted(1));
  CHECK(Kept.granted(2));
}

TEST_CASE("a grant that is taken back before it is told uses no allotment") {
  OneEngineKeeper Kept;
  Kept.Keeper_.refresh();
  AskedRequest Asked = OneEngineKeeper::asked(0);
  Asked.Customer_ = CustomerName("limited");
  auto Granted = [&] {
    return Kept.Keeper_.scheduler(Cell)->findRunning(Asked.Id_).has_value();
  };
  // The allotment is empty at first, and fills within a tenth of a second.
  auto End = std::chrono::steady_clock::now() + std::chrono::seconds(10);
  while (!Granted() && std::chrono::steady_clock::now() < End) {
    Kept.settle();
    ++Asked.Id_.Sequence_;
    Kept.Keeper_.ask(Cell, Asked);
  }
  REQUIRE(Granted());
  SUBCASE("its request is withdrawn") {
    Kept.Keeper_.withdraw(Cell, Asked.Id_);
  }
  SUBCASE("its entry has a new link") { Kept.Keeper_.entryBack(Entry); }
  Kept.settle();
  ++Asked.Id_.Sequence_;
  Kept.Keeper_.ask(Cell, Asked);
  CHECK(Granted());
}

TEST_CASE("grants that are told use their allotment") {
  OneEngineKeeper Kept;
  auto Begin = std::chrono::steady_clock::now();
  Kept.Keeper_.refresh();
  AskedRequest Asked = OneEngineKeeper::asked(0);
  Asked.Customer_ = CustomerName("limited");
  std::chrono::duration<double> Taken{0};
  constexpr std::chrono::milliseconds TimeOfThree{300};
  while (Kept.Granted_.empty() || Taken < TimeOfThree) {
    ++Asked.Id_.Sequence_;
    Kept.Keeper_.ask(Cell, Asked);
    Kept.settle();
    Kept.Keeper_.withdraw(Cell, Asked.Id_);
    Taken = std::chrono::steady_clock::now() - Begin;
  }
  auto Most = Allowed.Burst_ + Allowed.PerSecond_ * Taken.count();
  CHECK(static_cast<double>(Kept.Granted_.size()) <= Most);
}

namespace {

const VmId OtherEntry("other-entry");

void askFrom(OneEngineKeeper &Keeper, const VmId &From, std::uint64_t Number) {
  AskedRequest Asked;
  Asked.Id_ = {1, Number};
  Asked.Customer_ = CustomerName("c");
  Asked.Deadline_ = std::chrono::steady_clock::now() + std::chrono::hours(1);
  Asked.Entry_ = From;
  Keeper.Keeper_.ask(Cell, std::move(Asked));
  Keeper.Control_.poll();
}

/// Works until the request has its place, or far longer than that may take.
bool grantedInTime(OneEngineKeeper &Keeper, std::uint64_t Number) {
  auto End = std::chrono::steady_clock::now() + std::chrono::seconds(10);
  while (!Keeper.granted(Number) && std::chrono::steady_clock::now() < End)
    Keeper.Control_.run_one_for(std::chrono::milliseconds(10));
  return Keeper.granted(Number);
}

} // namespace

TEST_CASE("what waits for an entry whose link broke gets no place") {
  // A keeper was not let run for a second. Its entries closed their links and
  // asked another keeper; what they had asked before still lay unread, and got
  // the places when the keeper went on. Nobody ever ended those grants: the
  // keeper's own callers waited until their deadlines, "refused code=200,
  // waiting=9, running=1" ten seconds later with an idle engine.
  OneEngineKeeper Paused;
  askFrom(Paused, Entry, 1);
  askFrom(Paused, Entry, 2);
  askFrom(Paused, OtherEntry, 3);
  REQUIRE(Paused.granted(1));
  Paused.Keeper_.entryGone(Entry);
  Paused.Keeper_.done(Cell, {1, 1}, ServedSample());
  CHECK(grantedInTime(Paused, 3));
  CHECK_FALSE(Paused.granted(2));
}

TEST_CASE("the place of an entry whose link broke goes to who waits") {
  // As above: what the keeper granted before its pause had ended meanwhile, as
  // its entry told another keeper.
  OneEngineKeeper Paused;
  askFrom(Paused, Entry, 1);
  askFrom(Paused, OtherEntry, 2);
  REQUIRE(Paused.granted(1));
  Paused.Keeper_.entryGone(Entry);
  CHECK(grantedInTime(Paused, 2));
  CHECK(Paused.Orphans_.empty());
  SUBCASE("its requests are ended at their engines if the entry is dead") {
    Paused.Keeper_.entryDead(Entry);
    Paused.Control_.poll();
    CHECK(Paused.Orphans_ == std::vector<RequestId>{{1, 1}});
  }
  SUBCASE("they are left alone if it comes back") {
    Paused.Keeper_.entryBack(Entry);
    Paused.Keeper_.entryDead(Entry);
    Paused.Control_.poll();
    CHECK(Paused.Orphans_.empty());
  }
}
