/// \file
/// Tests of a keeper whose configuration gets more tiers while requests wait.

#include "Process/Scheduling/Scheduler.h"

#include <doctest/doctest.h>

using namespace samphireshunt;
using std::chrono::milliseconds;

namespace {

constexpr TimePoint Start{std::chrono::seconds(1000)};
const ServerName Engine("engine");

/// A keeper whose single engine has a single slot, so that requests wait.
class TieredKeeper {
public:
  explicit TieredKeeper(std::uint32_t Tiers) : Scheduler_(options()) {
    configure(Tiers);
  }

  void configure(std::uint32_t Tiers) {
    Scheduler_.configure({{Engine, 1, true}}, {}, Tiers, 1000);
  }
  std::vector<Decision> requestGrant(std::uint64_t Number, std::uint32_t Tier) {
    GrantRequest Request;
    Request.Id_ = {1, Number};
    Request.Tier_ = TierIndex(Tier);
    Request.Deadline_ = Start + std::chrono::seconds(10);
    Request.Objective_ = Start + std::chrono::seconds(5);
    Request.MaxWait_ = std::chrono::seconds(5);
    Request.Ingress_ = VmId("vm");
    return Scheduler_.requestGrant(std::move(Request), Start);
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

TEST_CASE("a waiting request is found in its queue, also after a "
          "configuration with more tiers") {
  // An ingress daemon has a configuration with one more tier before its keeper
  // has. A request of the new, lowest tier then waits in the lowest queue of
  // the keeper, until the keeper adopts the configuration and the request is
  // withdrawn.
  //
  // Guards against looking the request up by its tier and the current number of
  // queues. It would be removed from the new, empty queue, whose count falls
  // below zero, while its id stays in the old one. The failed lookup throws an
  // exception that ends the daemon or its watch of changes, or the keeper
  // refuses all requests of the tier from then on because of the huge count.
  TieredKeeper Keeper(2);
  REQUIRE(Keeper.requestGrant(1, 0).empty());
  REQUIRE(Keeper.Scheduler_.decide(Start).size() == 1);
  REQUIRE(Keeper.requestGrant(2, 2).empty());
  REQUIRE(Keeper.Scheduler_.decide(Start).empty());
  Keeper.configure(3);
  Keeper.Scheduler_.withdraw({1, 2});
  Keeper.Scheduler_.done({1, 1}, ServedSample(), Start);
  CHECK(Keeper.Scheduler_.waiting() == 0);
  CHECK_NOTHROW(Keeper.Scheduler_.decide(Start + milliseconds(10)));
}

TEST_CASE("a request is granted once, also after a configuration with more "
          "tiers") {
  // The same sequence, but the request is granted: its entry in the old queue
  // must not remain.
  TieredKeeper Keeper(2);
  REQUIRE(Keeper.requestGrant(1, 0).empty());
  REQUIRE(Keeper.Scheduler_.decide(Start).size() == 1);
  REQUIRE(Keeper.requestGrant(2, 2).empty());
  Keeper.configure(3);
  Keeper.Scheduler_.done({1, 1}, ServedSample(), Start);
  std::vector<Decision> Granted;
  REQUIRE_NOTHROW(Granted = Keeper.Scheduler_.decide(Start + milliseconds(1)));
  REQUIRE(Granted.size() == 1);
  CHECK(std::get<GrantDecision>(Granted.front()).Id_ == RequestId{1, 2});
  Keeper.Scheduler_.done({1, 2}, ServedSample(), Start);
  CHECK_NOTHROW(Keeper.Scheduler_.decide(Start + milliseconds(2)));
}
