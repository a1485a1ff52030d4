/// \file
/// A keeper whose configuration gets more tiers while requests wait.

#include "Process/Scheduling/Scheduler.h"

#include <doctest/doctest.h>

using namespace samphireshunt;
using std::chrono::milliseconds;

namespace {

constexpr TimePoint Start{std::chrono::seconds(1000)};
const ServerName Engine("engine");

/// Requests wait: the one engine has one place.
class TieredKeeper {
public:
  explicit TieredKeeper(std::uint32_t Tiers) : Scheduler_(options()) {
    configure(Tiers);
  }

  void configure(std::uint32_t Tiers) {
    Scheduler_.configure({{Engine, 1, true}}, {}, Tiers, 1000);
  }
  std::vector<Decision> ask(std::uint64_t Number, std::uint32_t Tier) {
    AskedRequest Asked;
    Asked.Id_ = {1, Number};
    Asked.Tier_ = TierIndex(Tier);
    Asked.Deadline_ = Start + std::chrono::seconds(10);
    Asked.Objective_ = Start + std::chrono::seconds(5);
    Asked.MaxWait_ = std::chrono::seconds(5);
    Asked.Entry_ = VmId("vm");
    return Scheduler_.ask(std::move(Asked), Start);
  }

  Scheduler Scheduler_;

private:
  static Scheduler::Options options() {
    Scheduler::Options Options;
    Options.GuaranteedShare_ = 0.5;
    Options.RefuseLongWaits_ = true;
    Options.Preempt_ = false;
    return Options;
  }
};

} // namespace

TEST_CASE("a request that waits is found where it waits, also after a "
          "configuration with more tiers") {
  // Symptom: beside a change of the configuration a daemon ends by itself, or
  // follows no change any more, with an exception of a map; or it refuses all
  // of a tier from then on, as if the whole world waited there.
  // Sequence: an entry has a configuration with one more priority, its keeper
  // not yet; a request of the new, lowest tier waits in the lowest queue that
  // the keeper has; the keeper adopts the configuration; the request is
  // withdrawn.
  // Cause: its queue is told by its tier and the number of queues of the
  // moment: it is taken out of the new, empty one, whose count falls below
  // zero, and its id stays in the old one, where it is looked up in vain.
  TieredKeeper Keeper(2);
  REQUIRE(Keeper.ask(1, 0).empty());
  REQUIRE(Keeper.Scheduler_.decide(Start).size() == 1);
  REQUIRE(Keeper.ask(2, 2).empty());
  REQUIRE(Keeper.Scheduler_.decide(Start).empty());
  Keeper.configure(3);
  Keeper.Scheduler_.withdraw({1, 2});
  Keeper.Scheduler_.done({1, 1}, ServedSample(), Start);
  CHECK(Keeper.Scheduler_.waiting() == 0);
  CHECK_NOTHROW(Keeper.Scheduler_.decide(Start + milliseconds(10)));
}

TEST_CASE("a request is granted once, also after a configuration with more "
          "tiers") {
  // The same sequence, but the request is granted: its place in the old queue
  // stays, and its id with it.
  TieredKeeper Keeper(2);
  REQUIRE(Keeper.ask(1, 0).empty());
  REQUIRE(Keeper.Scheduler_.decide(Start).size() == 1);
  REQUIRE(Keeper.ask(2, 2).empty());
  Keeper.configure(3);
  Keeper.Scheduler_.done({1, 1}, ServedSample(), Start);
  std::vector<Decision> Granted;
  REQUIRE_NOTHROW(Granted = Keeper.Scheduler_.decide(Start + milliseconds(1)));
  REQUIRE(Granted.size() == 1);
  CHECK(std::get<GrantDecision>(Granted.front()).Id_ == RequestId{1, 2});
  Keeper.Scheduler_.done({1, 2}, ServedSample(), Start);
  CHECK_NOTHROW(Keeper.Scheduler_.decide(Start + milliseconds(2)));
}
