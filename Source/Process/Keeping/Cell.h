#pragma once
/// \file
/// Cells: slices of a pool, each scheduled by one keeper, and the choice of
/// the keeper by rendezvous hashing over the live daemons.

#include "Common/Ids.h"
#include "Generated/Peer_generated.h"
#include "Process/Membership/MemberTable.h"
#include "Version/Document.h"

#include <memory>
#include <optional>
#include <span>
#include <vector>

namespace samphireshunt {

/// Servers of one cell on average, at the most; with more, a pool is cut into
/// more cells. A decision looks at all engines of its cell.
inline constexpr std::size_t MaxCellServers = 48;

/// Keepers of one service at the most. What a customer may use is divided among
/// them: with many, no part is as large as a request.
inline constexpr std::uint32_t MostKeepers = 8;

struct CellId {
  ServiceName Service_;
  PoolName Pool_;
  std::uint32_t Index_ = 0;
  // NOLINTNEXTLINE: blames the code that the compiler writes here.
  auto operator<=>(const CellId &) const = default;

  std::string str() const;
  std::unique_ptr<wire::CellT> toWire() const;
  static CellId fromWire(const std::unique_ptr<wire::CellT> &Cell);
};

/// Into how many cells a pool is cut.
std::uint32_t cellCount(const Pool &Whole);
/// The cell of a server, by jump consistent hashing: a cell more takes its part
/// of the others' servers, and leaves the rest where they are.
std::uint32_t cellOf(const ServerName &Server, std::uint32_t Count);
/// The cell for a request, by a key of its own or of its session, from 0 to
/// cellCount() - 1: each cell gets requests as it has servers.
///
/// Load pattern: more requests than all servers can do. Cells differ in size by
/// a tenth and more; given equal parts, the small ones refuse requests and wait
/// in vain for places while the large ones have some free. One server that
/// comes or goes takes along only the keys that are its own, so that nearly all
/// sessions stay where their prompts are cached.
std::uint32_t cellForKey(const Pool &Whole, std::uint64_t Key);
/// The servers of one cell, in the document's order.
std::vector<const BackendServer *> cellServers(const Pool &Whole,
                                               std::uint32_t Index);

/// One of the first MostKeepers cells: keeperOf() it is the keeper of \p Cell.
CellId keptWith(const CellId &Cell);

/// The member that keeps the cell: of those with strong network links the one
/// with the highest hash of cell and member, so that a change of one member
/// moves only that member's cells.
///
/// All messages about a cell's requests cross its keeper's link. On the weakest
/// links they queue up in a burst: grants come seconds late, engines idle on
/// requests whose callers have left, and callers wait for an answer that is on
/// its way. Links differ twentyfold within a fleet, so the weaker ones keep
/// cells only where no strong one is in reach.
/// \returns null when \p Candidates is empty.
const Member *keeperOf(const CellId &Cell, std::span<const Member> Candidates);

} // namespace samphireshunt
