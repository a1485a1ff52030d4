#include "Process/Cell.h"

#include "Common/Hash.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>

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
  return static_cast<std::uint32_t>(stableHash(Server.str()) % Count);
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

const Member *keeperOf(const CellId &Cell, std::span<const Member> Candidates) {
  // Cells of one index of all pools of a service have one keeper: it counts
  // what a customer uses of its allotment in all of them.
  std::uint64_t Seed = stableHash(Cell.Service_.str(), Cell.Index_);
  auto Weight = [Seed](const Member &Candidate) {
    return std::pair(stableHash(Candidate.Id_.str(), Seed), Candidate.Id_);
  };
  auto Best = std::ranges::max_element(Candidates, {}, Weight);
  return Best == Candidates.end() ? nullptr : &*Best;
}

} // namespace samphireshunt
