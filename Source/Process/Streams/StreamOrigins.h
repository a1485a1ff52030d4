#pragma once
/// \file
/// Where streams began, by the attempt that brought their first event. The code
/// is free of I/O; the current time is passed in.
///
/// Load pattern: a daemon is killed, or a server with a batch of streams, and
/// all their callers take their streams up again at once, each at any daemon.
/// Each stream must go on at the version that began it, so a few daemons know
/// of each: the one that serves it, and others chosen by hash.

#include "Common/TimePoint.h"
#include "Process/Streams/StreamOrigin.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace samphireshunt {

/// Identifies an attempt of a customer's caller. Equal on all daemons.
struct StreamKey {
  std::uint64_t High_ = 0;
  std::uint64_t Low_ = 0;

  // NOLINTNEXTLINE: the checks take the operator's generated code for ours.
  auto operator<=>(const StreamKey &) const = default;
};

/// \returns the key of the attempt \p CallId of a customer, whose name is empty
/// for anonymous callers. No customer can name the streams of another one.
StreamKey streamKey(const CustomerName &Customer, std::string_view CallId);

/// \returns the members that keep the record of a key, best first: up to \p
/// Count of \p Members by their hashes with the key.
std::vector<VmId> recordKeepers(const StreamKey &Key,
                                const std::vector<VmId> &Members,
                                std::size_t Count);

class StreamOrigins {
public:
  /// Maximum number of records; beyond it the one that ends first is dropped.
  static constexpr std::size_t MaxRecords = 16384;

  /// Adds a record that is needed until \p Until. A second record of the same
  /// key with another origin makes the key unknown: it identifies two streams.
  void add(const StreamKey &Key, const StreamOrigin &Origin, TimePoint Until,
           TimePoint Now);
  /// \returns nothing if the key is unknown or its record has ended.
  std::optional<StreamOrigin> find(const StreamKey &Key, TimePoint Now) const;
  std::size_t size() const { return Records_.size(); }

private:
  struct Record {
    /// Unset if the key identifies two streams.
    std::optional<StreamOrigin> Origin_;
    TimePoint Until_;
  };
  void dropFirst();

  std::map<StreamKey, Record> Records_;
  std::set<std::pair<TimePoint, StreamKey>> ByEnd_;
};

} // namespace samphireshunt
