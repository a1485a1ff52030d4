/// \file
/// A keeper's cells between entries that come and go.

#include "Process/KeeperService.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>

using namespace samphireshunt;

namespace {

const ServiceName Service("s");
const PoolName ThePool("p");
const CellId Cell{Service, ThePool, 0};
const VmId Entry("entry");

/// A keeper of one engine with one place.
class OneEngineKeeper {
public:
  OneEngineKeeper()
      : Keeper_(Control_, withOneEngine(Documents_), options(), hooks()) {}

  void ask(std::uint64_t Number, const CellId &Of = Cell) {
    AskedRequest Asked;
    Asked.Id_ = {1, Number};
    Asked.Customer_ = CustomerName("c");
    Asked.Deadline_ = std::chrono::steady_clock::now() + std::chrono::hours(1);
    Asked.Entry_ = Entry;
    Keeper_.ask(Of, std::move(Asked));
  }
  bool granted(std::uint64_t Number) const {
    return std::ranges::count(Granted_, RequestId{1, Number}) > 0;
  }

  boost::asio::io_context Control_;
  DocumentStore Documents_;
  std::vector<RequestId> Granted_;
  std::vector<RequestId> Orphans_;
  std::map<RequestId, ResultCode> Refused_;
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
    Document Built;
    Built.Service_ = Service;
    Built.Tiers_ = {"0"};
    Pool Target;
    Target.Name_ = ThePool;
    BackendServer Engine;
    Engine.Name_ = ServerName("engine");
    Engine.MaxInFlight_ = 1;
    Target.Servers_.push_back(Engine);
    Built.Pools_.push_back(std::move(Target));
    Built.buildIndex();
    Documents.adopt(Service, DocumentVersion(1),
                    std::make_shared<const Document>(std::move(Built)));
    return Documents;
  }
  KeeperService::Hooks hooks() {
    KeeperService::Hooks Hooks;
    Hooks.Decided_ = [this](const CellId &, const Decision &Taken) {
      if (const auto *Grant = std::get_if<GrantDecision>(&Taken))
        Granted_.push_back(Grant->Id_);
      if (const auto *Refusal = std::get_if<RefuseDecision>(&Taken))
        Refused_[Refusal->Id_] = Refusal->Code_;
    };
    Hooks.Orphaned_ = [this](const OrphanedRequest &Orphan) {
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
