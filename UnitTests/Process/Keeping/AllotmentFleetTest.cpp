/// \file
/// What all daemons of a fleet together grant of a customer's allotment while
/// keepers end, start, stand still and are cut off, in virtual time.

#include "Process/Keeping/AllotmentShare.h"
#include "Process/Keeping/Cell.h"
#include "Process/Scheduling/AllotmentLedger.h"

#include "UnitTests/Process/Membership/SimulatedFleet.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <numeric>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace samphireshunt;
using namespace samphireshunt::tests;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr milliseconds Step{100};
constexpr seconds Window{8};
constexpr std::uint32_t Cells = 7;
/// The silence after which a daemon takes its link to a keeper for broken, and
/// how long it then avoids the keeper.
constexpr milliseconds LinkSilence{700};
constexpr milliseconds Backoff{2000};
constexpr double PerSecond = 10000;
constexpr double Burst = 10000;
constexpr double Overrun = 0.1;
constexpr double Cost = 5;
/// Requests of the customer in each step, several times its allotment.
constexpr std::size_t RequestsPerStep = 1000;
/// At most this many daemons ask, and so many of the order for a cell may keep
/// it.
constexpr std::size_t MaxAsking = 20;
constexpr int MaxRank = 4;
const CustomerName Hot("hot");

std::vector<CellId> allCells() {
  std::vector<CellId> All;
  for (std::uint32_t Index = 0; Index < Cells; ++Index)
    All.push_back({ServiceName("s"), PoolName("p"), Index});
  return All;
}

class GrantingFleet {
public:
  GrantingFleet(std::size_t Daemons, std::uint64_t Seed)
      : Fleet_(Daemons, {.Seed_ = Seed}), Cells_(allCells()),
        Daemons_(Daemons) {
    for (std::size_t Index = 0; Index < Daemons; ++Index) {
      Indices_[SimulatedFleet::nameOf(Index)] = Index;
      Daemons_[Index] = process();
    }
    findCandidates();
    Fleet_.runFor(seconds(2));
    // All keepers have counted for the customer, and its buckets are full.
    runFor(seconds(2));
    Asks_ = false;
    runFor(seconds(2));
    Asks_ = true;
    Granted_.clear();
  }

  std::size_t size() const { return Daemons_.size(); }
  /// Returns the keeper of the first cell in a fleet without trouble.
  std::size_t keeper() { return keepersSeenBy(0).front(); }

  void cutOff(std::size_t Count, int Side) {
    for (std::size_t Index = 0; Index < Count; ++Index) {
      Fleet_.setSide(Index, Side);
      Daemons_[Index].Side_ = Side;
    }
  }
  void kill(std::size_t Index) { Fleet_.kill(Index); }
  void restart(std::size_t Index) {
    int Side = Daemons_[Index].Side_;
    Fleet_.restart(Index);
    Daemons_[Index] = process();
    Daemons_[Index].Side_ = Side;
  }
  void freeze(std::size_t Index, milliseconds Duration) {
    Fleet_.keepBusy(Index, Duration);
    Daemons_[Index].FrozenUntil_ = Now_ + Duration;
  }

  void runFor(milliseconds Duration) {
    for (milliseconds Ran{0}; Ran < Duration; Ran += Step) {
      Fleet_.runFor(Step);
      Now_ += Step;
      Granted_.push_back(grantAll());
    }
  }

  /// Return what was granted in the window with the most, or the least, as a
  /// fraction of what the customer may use, or of what its rate allows.
  double most() const {
    return std::ranges::max(windows()) /
           (PerSecond * static_cast<double>(Window.count()) + Burst);
  }
  double least() const {
    return std::ranges::min(windows()) /
           (PerSecond * static_cast<double>(Window.count()));
  }

private:
  struct Daemon {
    KeptCells Kept_;
    std::optional<AllotmentLedger> Ledger_;
    int Side_ = 0;
    TimePoint FrozenUntil_;
    /// Since when others are silent, and until when they are avoided, with the
    /// process that is.
    std::map<std::size_t, TimePoint> SilentSince_;
    std::map<std::size_t, std::pair<TimePoint, Incarnation>> Avoided_;
  };

  Daemon process() const {
    AllotmentLedger::Options Options;
    Options.Window_ = Window;
    Options.Overrun_ = Overrun;
    Daemon Started;
    Started.Ledger_.emplace(Options, Now_);
    return Started;
  }

  bool runs(std::size_t Index) const {
    return Fleet_.alive(Index) && Daemons_[Index].FrozenUntil_ <= Now_;
  }

  std::vector<std::size_t> keepersSeenBy(std::size_t Asking) {
    auto Candidates = Fleet_.members(Asking).keepers();
    std::erase_if(Candidates, [&](const Member &Candidate) {
      return Daemons_[Asking].Avoided_.contains(Indices_.at(Candidate.Id_));
    });
    std::vector<std::size_t> Keepers;
    for (const CellId &Cell : Cells_) {
      const Member *Found = keeperOf(Cell, Candidates);
      Keepers.push_back(Found ? Indices_.at(Found->Id_) : Asking);
    }
    return Keepers;
  }

  /// Finds the daemons that may come to keep a cell: the first in the order of
  /// all daemons, of the third that may be cut off, and of the others.
  void findCandidates() {
    auto Known = Fleet_.members(0).others();
    Known.push_back(Fleet_.members(0).self());
    std::set<std::size_t> Found;
    for (bool InThird : {false, true})
      for (const CellId &Cell : Cells_) {
        auto Left = Known;
        std::erase_if(Left, [&](const Member &Candidate) {
          return (Indices_.at(Candidate.Id_) < size() / 3) != InThird;
        });
        for (int Rank = 0; Rank < MaxRank && !Left.empty(); ++Rank) {
          VmId Next = keeperOf(Cell, Left)->Id_;
          Found.insert(Indices_.at(Next));
          std::erase_if(Left, [&](const Member &Candidate) {
            return Candidate.Id_ == Next;
          });
        }
      }
    Candidates_.assign(Found.begin(), Found.end());
  }

  /// Ends what is avoided for long enough, or whose process is a new one.
  void forgetAvoided(std::size_t Asking) {
    std::erase_if(Daemons_[Asking].Avoided_, [&](const auto &Item) {
      auto Known =
          Fleet_.members(Asking).find(SimulatedFleet::nameOf(Item.first));
      return Item.second.first <= Now_ ||
             (Known && Known->Incarnation_ != Item.second.second);
    });
  }

  void refresh(std::size_t Index) {
    Daemon &Own = Daemons_[Index];
    auto Avoided = std::exchange(Own.Avoided_, {});
    auto Keepers = keepersSeenBy(Index);
    Own.Avoided_ = std::move(Avoided);
    std::vector<std::uint32_t> Kept;
    for (std::uint32_t Cell = 0; Cell < Cells; ++Cell)
      if (Keepers[Cell] == Index)
        Kept.push_back(Cell);
    Own.Kept_.update(Kept, Cells, Now_ + AllotmentHandOver);
    if (Own.Kept_.noteRunning(Now_))
      Own.Ledger_->restart(Now_);
  }

  /// Returns whether the daemon can ask the other one, and notes that it can't.
  bool reaches(std::size_t Asking, std::size_t Asked) {
    Daemon &Own = Daemons_[Asking];
    if (Asked == Asking)
      return true;
    bool Answers = Own.Side_ == Daemons_[Asked].Side_ && runs(Asked);
    if (Answers) {
      Own.SilentSince_.erase(Asked);
      return true;
    }
    bool Refuses = Own.Side_ == Daemons_[Asked].Side_ && !Fleet_.alive(Asked);
    auto Since = Own.SilentSince_.try_emplace(Asked, Now_).first->second;
    if (!Refuses && Now_ - Since < LinkSilence)
      return false;
    auto Known = Fleet_.members(Asking).find(SimulatedFleet::nameOf(Asked));
    Own.Avoided_[Asked] = {Now_ + Backoff,
                           Known ? Known->Incarnation_ : Incarnation()};
    Own.SilentSince_.erase(Asked);
    return false;
  }

  double grantAll() {
    double Sum = 0;
    for (std::size_t Index : Candidates_)
      if (runs(Index))
        refresh(Index);
    if (!Asks_)
      return Sum;
    // Some daemons ask for all.
    std::size_t Apart = std::max<std::size_t>(1, size() / MaxAsking);
    std::size_t Requests = RequestsPerStep * Apart / (size() * Cells);
    for (std::size_t Asking = 0; Asking < size(); Asking += Apart) {
      if (!runs(Asking))
        continue;
      forgetAvoided(Asking);
      for (std::size_t Asked : keepersSeenBy(Asking))
        for (std::size_t Count = 0; Count < Requests && reaches(Asking, Asked);
             ++Count)
          Sum += grant(Asked);
    }
    return Sum;
  }

  double grant(std::size_t Asked) {
    Daemon &Granting = Daemons_[Asked];
    AllotmentPart Part =
        Granting.Kept_.part(Fleet_.members(Asked).liveShare(), Now_);
    AllotmentLedger::Charge Charge{{1, ++LastRequest_}, Hot, Cost, false};
    Charge.StandsIn_ = Part.StandsIn_;
    Charge.ShareSince_ = Part.Since_;
    Allotment Allowed;
    Allowed.PerSecond_ = PerSecond;
    Allowed.Burst_ = Burst;
    if (!Granting.Ledger_->charge(Charge, Allowed, Part.Share_, Now_))
      return 0;
    Granting.Ledger_->commit(Charge.Id_);
    return Cost;
  }

  std::vector<double> windows() const {
    constexpr std::size_t Steps = Window / Step;
    std::vector<double> Sums;
    for (auto First = Granted_.begin(); First + Steps <= Granted_.end();
         ++First)
      Sums.push_back(std::accumulate(First, First + Steps, 0.0));
    return Sums;
  }

  SimulatedFleet Fleet_;
  std::vector<CellId> Cells_;
  std::vector<Daemon> Daemons_;
  std::vector<std::size_t> Candidates_;
  std::map<VmId, std::size_t> Indices_;
  TimePoint Now_{seconds(1000)};
  std::vector<double> Granted_;
  std::uint64_t LastRequest_ = 0;
  bool Asks_ = true;
};

struct Trouble {
  std::string Name_;
  std::function<void(GrantingFleet &)> Happen_;
  /// What has to be granted at least in each window, of what the rate allows;
  /// 0 where no aim is stated.
  double Least_;
  bool InLargeFleet_ = false;
};

void restartKeeper(GrantingFleet &Fleet) {
  std::size_t Keeper = Fleet.keeper();
  Fleet.kill(Keeper);
  Fleet.runFor(milliseconds(500));
  Fleet.restart(Keeper);
}

void cutThird(GrantingFleet &Fleet, milliseconds Duration) {
  Fleet.cutOff(Fleet.size() / 3, 1);
  Fleet.runFor(Duration);
  Fleet.cutOff(Fleet.size() / 3, 0);
}

std::vector<Trouble> troubles() {
  return {
      {"calm", [](GrantingFleet &) {}, 0.95, true},
      {"a keeper ends",
       [](GrantingFleet &Fleet) { Fleet.kill(Fleet.keeper()); }, 0.8, true},
      {"a keeper starts again", restartKeeper, 0.8},
      {"eight daemons start again in turn",
       [](GrantingFleet &Fleet) {
         for (std::size_t Index = 0; Index < 8; ++Index) {
           Fleet.kill(Index);
           Fleet.runFor(milliseconds(500));
           Fleet.restart(Index);
           Fleet.runFor(milliseconds(800));
         }
       },
       0.8},
      {"a third is cut off",
       [](GrantingFleet &Fleet) { cutThird(Fleet, seconds(9)); }, 0, true},
      {"a third is cut off again and again",
       [](GrantingFleet &Fleet) {
         for (int Cut = 0; Cut < 3; ++Cut) {
           cutThird(Fleet, milliseconds(2500));
           Fleet.runFor(milliseconds(2500));
         }
       },
       0, true},
      {"a keeper ends while a third is cut off",
       [](GrantingFleet &Fleet) {
         std::size_t Keeper = Fleet.keeper();
         Fleet.cutOff(Fleet.size() / 3, 1);
         Fleet.runFor(seconds(3));
         Fleet.kill(Keeper);
         Fleet.runFor(seconds(3));
         Fleet.restart(Keeper);
         Fleet.runFor(seconds(2));
         Fleet.cutOff(Fleet.size() / 3, 0);
       },
       0},
  };
}

void checkGranted(std::size_t Daemons, const Trouble &Known) {
  GrantingFleet Fleet(Daemons, Daemons);
  Fleet.runFor(seconds(1));
  Known.Happen_(Fleet);
  Fleet.runFor(seconds(10));
  CAPTURE(Daemons);
  CAPTURE(Known.Name_);
  MESSAGE("granted at most ", Fleet.most(), ", at least ", Fleet.least());
  CHECK(Fleet.most() <= 1 + Overrun);
  CHECK(Fleet.least() >= Known.Least_);
}

} // namespace

TEST_CASE("all daemons together grant no more than an allotment") {
  // Guards against a customer that gets more than its allotment while daemons
  // differ on who keeps a cell, and against one that gets far less of it.
  for (std::size_t Daemons : {std::size_t{8}, std::size_t{300}})
    for (const Trouble &Known : troubles())
      if (Daemons <= 100 || Known.InLargeFleet_)
        checkGranted(Daemons, Known);
}

// A test of its own, so that the list of known failures can name it alone.
TEST_CASE("a customer has its allotment while a keeper stands still" *
          doctest::skip()) {
  // Guards against a customer that gets less because its keeper changes twice.
  checkGranted(8, {"a keeper stands still",
                   [](GrantingFleet &Fleet) {
                     std::size_t Keeper = Fleet.keeper();
                     Fleet.freeze(Keeper, seconds(5));
                     Fleet.runFor(seconds(7));
                     Fleet.freeze(Keeper, seconds(1));
                   },
                   0.8});
}

TEST_CASE(
    "a keeper grants a cell's part only some time after it has gained it") {
  // Guards against a customer that gets more than its allotment, because the
  // keeper before, or the one during a pause, still grants.
  TimePoint Now{seconds(1000)};
  KeptCells Kept;
  Kept.update({0, 1}, 4, Now);
  CHECK(Kept.part(0.5, Now).Share_ == doctest::Approx(0.25));
  Kept.update({1, 2}, 4, Now + AllotmentHandOver);
  CHECK(Kept.part(1, Now).Share_ == doctest::Approx(0.25));
  CHECK(Kept.part(1, Now + AllotmentHandOver).Share_ == doctest::Approx(0.5));
  CHECK(Kept.part(1, Now + AllotmentHandOver).Since_ ==
        Now + AllotmentHandOver);
  CHECK_FALSE(Kept.noteRunning(Now));
  Now += seconds(5);
  CHECK(Kept.noteRunning(Now));
  CHECK(Kept.part(1, Now).StandsIn_);
  CHECK_FALSE(Kept.part(1, Now + AllotmentHandOver).StandsIn_);
  Kept.update({}, 4, Now);
  CHECK(Kept.part(1, Now + AllotmentHandOver).StandsIn_);
}
