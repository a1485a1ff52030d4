#include "Process/Keeping/Cell.h"

#include "Common/Hash.h"

#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <iterator>
#include <map>
#include <tuple>
#include <utility>

namespace samphireshunt {

std::string CellId::str() const {
  return fmt::format("{}/{}/{}", Service_.str(), Pool_.str(), Index_);
}

std::unique_ptr<wire::CellT> CellId::toWire() const {
  auto Cell = std::make_unique<wire::CellT>();
  Cell->service = Service_.str();
  Cell->pool = Pool_.str();
  Cell->index = Index_;
  return Cell;
}

CellId CellId::fromWire(const std::unique_ptr<wire::CellT> &Cell) {
  if (!Cell)
    return {};
  return {ServiceName(Cell->service), PoolName(Cell->pool), Cell->index};
}

std::uint32_t cellCount(const Pool &Whole) {
  std::size_t Count =
      (Whole.Servers_.size() + MaxCellServers - 1) / MaxCellServers;
  return static_cast<std::uint32_t>(std::max<std::size_t>(1, Count));
}

std::uint32_t cellOf(const ServerName &Server, std::uint32_t Count) {
  // J. Lamping, E. Veach: A Fast, Minimal Memory, Consistent Hash Algorithm.
  constexpr std::uint64_t Multiplier = 2862933555777941757ULL;
  constexpr int Shift = 33;
  constexpr double Scale = 2147483648.0;
  std::uint64_t Key = stableHash(Server.str());
  std::int64_t Chosen = 0;
  for (std::int64_t Next = 0; Next < Count;) {
    Chosen = Next;
    Key = Key * Multiplier + 1;
    double Jump = Scale / static_cast<double>((Key >> Shift) + 1);
    Next = static_cast<std::int64_t>(static_cast<double>(Chosen + 1) * Jump);
  }
  return static_cast<std::uint32_t>(Chosen);
}

std::uint32_t cellForKey(const Pool &Whole, std::uint64_t Key) {
  std::uint32_t Count = cellCount(Whole);
  if (Count == 1)
    return 0;
  // A cell whose servers are all held back has nothing for a new request.
  auto Weight = [Key](const BackendServer &Server) {
    return std::pair(!Server.HeldBack_, stableHash(Server.Name_.str(), Key));
  };
  auto Chosen = std::ranges::max_element(Whole.Servers_, {}, Weight);
  return cellOf(Chosen->Name_, Count);
}

std::vector<std::uint32_t> cellsOfVersion(const Pool &Whole,
                                          const SoftwareVersion &Version,
                                          std::uint64_t Key) {
  std::uint32_t Count = cellCount(Whole);
  std::map<std::uint32_t, std::uint64_t> WeightOfCell;
  for (const BackendServer &Server : Whole.Servers_) {
    if (Server.Version_ != Version || Server.Leaving_)
      continue;
    std::uint64_t &Weight = WeightOfCell[cellOf(Server.Name_, Count)];
    Weight = std::max(Weight, stableHash(Server.Name_.str(), Key));
  }
  std::vector<std::uint32_t> Cells;
  std::ranges::transform(WeightOfCell, std::back_inserter(Cells),
                         [](const auto &Item) { return Item.first; });
  std::ranges::sort(Cells, std::greater(),
                    [&](std::uint32_t Cell) { return WeightOfCell.at(Cell); });
  return Cells;
}

std::vector<const BackendServer *> cellServers(const Pool &Whole,
                                               std::uint32_t Index) {
  std::uint32_t Count = cellCount(Whole);
  std::vector<const BackendServer *> Servers;
  for (const BackendServer &Server : Whole.Servers_)
    if (cellOf(Server.Name_, Count) == Index)
      Servers.push_back(&Server);
  return Servers;
}

CellId keeperCell(const CellId &Cell) {
  return {Cell.Service_, Cell.Pool_, Cell.Index_ % MaxKeepers};
}

namespace {

/// A link counts as strong if it has at least half the bandwidth of the
/// strongest one. Similar VMs then share the cells even if their bandwidths
/// differ slightly.
constexpr std::uint32_t StrongLinkDivisor = 2;

std::uint32_t minStrongLinkMbps(std::span<const Member> Candidates) {
  std::uint32_t Strongest = 0;
  for (const Member &Candidate : Candidates)
    Strongest = std::max(Strongest, Candidate.LinkMbps_);
  return Strongest / StrongLinkDivisor;
}

} // namespace

const Member *keeperOf(const CellId &Cell, std::span<const Member> Candidates) {
  // Cells with the same index in all pools of a service have the same keeper,
  // so that it can count a customer's use of its allotment across the pools.
  std::uint64_t Seed = stableHash(Cell.Service_.str(), Cell.Index_);
  std::uint32_t Strong = minStrongLinkMbps(Candidates);
  auto Weight = [Seed, Strong](const Member &Candidate) {
    return std::tuple(Candidate.LinkMbps_ >= Strong,
                      stableHash(Candidate.Id_.str(), Seed), Candidate.Id_);
  };
  auto Best = std::ranges::max_element(Candidates, {}, Weight);
  return Best == Candidates.end() ? nullptr : &*Best;
}

} // namespace samphireshunt
