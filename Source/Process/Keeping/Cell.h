#pragma once
/// \file
/// Cells: partitions of a pool, each scheduled by one keeper, and the choice of
/// that keeper by rendezvous hashing over the live daemons.

#include "Common/Ids.h"
#include "Generated/Peer_generated.h"
#include "Process/Membership/MemberTable.h"
#include "Version/Document.h"

#include <memory>
#include <optional>
#include <span>
#include <vector>

namespace samphireshunt {

/// The largest average number of servers per cell. A larger pool is split into
/// more cells, because each scheduling decision looks at all engines of its
/// cell.
inline constexpr std::size_t MaxCellServers = 48;

/// The maximum number of keepers per service. They divide what a customer may
/// use among them: with more keepers, no share would be as large as a single
/// request.
inline constexpr std::uint32_t MaxKeepers = 8;

struct CellId {
  ServiceName Service_;
  PoolName Pool_;
  std::uint32_t Index_ = 0;
  // NOLINTNEXTLINE: the check reports compiler-generated code here.
  auto operator<=>(const CellId &) const = default;

  std::string str() const;
  std::unique_ptr<wire::CellT> toWire() const;
  static CellId fromWire(const std::unique_ptr<wire::CellT> &Cell);
};

/// Returns the number of cells that the pool is split into.
std::uint32_t cellCount(const Pool &Whole);
/// Returns the cell of a server, by jump consistent hashing: an additional cell
/// takes its share of the servers from the other cells and moves no others.
std::uint32_t cellOf(const ServerName &Server, std::uint32_t Count);
/// Returns the cell for a request, from 0 to cellCount() - 1, by a key of the
/// request or its session. Each cell gets requests in proportion to its number
/// of servers.
///
/// Cells differ in size by a tenth and more. With equal shares of the requests
/// under overload, small cells would refuse requests and wait for slots while
/// large ones have free slots. Adding or removing one server moves only the
/// keys that map to it, so nearly all sessions stay where their prompts are
/// cached.
std::uint32_t cellForKey(const Pool &Whole, std::uint64_t Key);
/// Returns the cells that have servers of the version, at which a request with
/// the key should ask, the best first. Empty if the pool has no such server.
std::vector<std::uint32_t> cellsOfVersion(const Pool &Whole,
                                          const SoftwareVersion &Version,
                                          std::uint64_t Key);
/// Returns the servers of one cell, in the document's order.
std::vector<const BackendServer *> cellServers(const Pool &Whole,
                                               std::uint32_t Index);

/// Maps a cell to one of the first MaxKeepers cells of its pool; keeperOf()
/// that cell is also the keeper of \p Cell.
CellId keeperCell(const CellId &Cell);

/// Returns the member that schedules the cell: of the members with strong
/// network links, the one with the highest hash of cell and member. A change of
/// one member moves only that member's cells.
///
/// All messages about a cell's requests cross its keeper's link. Bandwidths
/// differ by a factor of twenty within a fleet, and on the weakest links a
/// burst of messages queues up: grants arrive seconds late, engines idle on
/// requests whose callers have left, and callers wait for an answer that is
/// still in transit. Members with weak links therefore schedule cells only if
/// no member with a strong link is reachable.
/// \returns null when \p Candidates is empty.
const Member *keeperOf(const CellId &Cell, std::span<const Member> Candidates);

} // namespace samphireshunt
