/// \file
/// The shares of an allotment that all daemons of a fleet may grant together
/// while a part of it is cut off, in virtual time.

#include "Process/Keeping/AllotmentShare.h"
#include "Process/Keeping/Cell.h"

#include "UnitTests/Process/Membership/SimulatedFleet.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <numeric>
#include <set>
#include <vector>

using namespace samphireshunt;
using namespace samphireshunt::tests;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr milliseconds Step{100};
/// The window over which the use of an allotment is counted.
constexpr std::size_t WindowSteps = seconds(8) / Step;
/// The silence after which a daemon takes its link to a keeper for broken.
constexpr milliseconds LinkSilence{700};
/// A tenth more than the allotment is tolerated, and keepers use six tenths of
/// that.
constexpr double MostShares = 1.04;

std::vector<CellId> allCells(std::uint32_t Count) {
  std::vector<CellId> Cells;
  for (std::uint32_t Index = 0; Index < Count; ++Index)
    Cells.push_back({ServiceName("s"), PoolName("p"), Index});
  return Cells;
}

class SharingFleet {
public:
  SharingFleet(std::size_t Daemons, std::uint32_t Cells, std::uint64_t Seed)
      : Fleet_(Daemons, {.Seed_ = Seed}), Cells_(allCells(Cells)),
        Sides_(Daemons) {
    for (std::size_t Index = 0; Index < Daemons; ++Index)
      Indices_[SimulatedFleet::nameOf(Index)] = Index;
    Fleet_.runFor(seconds(2));
  }

  /// Cuts the first \p Count daemons off from the others, which all of them
  /// notice by the silence of their links.
  void cutOff(std::size_t Count) {
    for (std::size_t Index = 0; Index < Count; ++Index)
      Fleet_.setSide(Index, 1);
    runFor(LinkSilence);
    std::ranges::fill_n(Sides_.begin(), Count, 1);
  }

  void heal() {
    std::ranges::fill(Sides_, 0);
    for (std::size_t Index = 0; Index < Fleet_.size(); ++Index)
      Fleet_.setSide(Index, 0);
  }

  void runFor(milliseconds Duration) {
    for (milliseconds Ran{0}; Ran < Duration; Ran += Step) {
      Fleet_.runFor(Step);
      Sums_.push_back(sumOfShares());
    }
  }

  /// \returns the largest mean of the shares' sum over any window.
  double worst() const {
    double Worst = 0;
    for (auto First = Sums_.begin(); First + WindowSteps <= Sums_.end();
         ++First) {
      double Sum = std::accumulate(First, First + WindowSteps, 0.0);
      Worst = std::max(Worst, Sum / static_cast<double>(WindowSteps));
    }
    return Worst;
  }

private:
  /// Returns the daemon that grants the cell's requests of another daemon,
  /// which reaches only its own side.
  std::size_t granter(std::size_t Asking, const CellId &Cell) {
    auto Candidates = Fleet_.members(Asking).keepers();
    std::erase_if(Candidates, [&](const Member &Candidate) {
      return Sides_[Indices_.at(Candidate.Id_)] != Sides_[Asking];
    });
    return Indices_.at(keeperOf(Cell, Candidates)->Id_);
  }

  double shareOf(std::size_t Daemon) {
    auto Candidates = Fleet_.members(Daemon).keepers();
    auto Scheduled = std::ranges::count_if(Cells_, [&](const CellId &Cell) {
      return keeperOf(Cell, Candidates)->Id_ == SimulatedFleet::nameOf(Daemon);
    });
    auto Count = static_cast<double>(Cells_.size());
    return allotmentShare(static_cast<double>(Scheduled) / Count, Count,
                          Fleet_.members(Daemon).liveShare());
  }

  double sumOfShares() {
    std::set<std::size_t> Granting;
    for (std::size_t Index = 0; Index < Fleet_.size(); ++Index)
      for (const CellId &Cell : Cells_)
        Granting.insert(granter(Index, Cell));
    return std::accumulate(
        Granting.begin(), Granting.end(), 0.0,
        [&](double Sum, std::size_t Daemon) { return Sum + shareOf(Daemon); });
  }

  SimulatedFleet Fleet_;
  std::vector<CellId> Cells_;
  std::map<VmId, std::size_t> Indices_;
  std::vector<int> Sides_;
  std::vector<double> Sums_;
};

} // namespace

TEST_CASE("allotments in a fleet of which a part is cut off for a while") {
  // Guards against a customer that gets more than its allotment, as keepers
  // go on granting all of it while others stand in for them on the other side.
  for (std::size_t Daemons : {std::size_t{8}, std::size_t{76}})
    for (std::uint32_t Cells : {1U, 3U}) {
      SharingFleet Shared(Daemons, Cells, Daemons + Cells);
      Shared.runFor(seconds(1));
      Shared.cutOff(Daemons / 3);
      Shared.runFor(seconds(9));
      Shared.heal();
      Shared.runFor(seconds(4));
      CAPTURE(Daemons);
      CAPTURE(Cells);
      CHECK(Shared.worst() <= MostShares);
    }
}
