#pragma once
/// \file
/// Encodes the entries of a state that one daemon sends to another, compressed
/// if they are numerous: uncompressed, thousands of servers would occupy a link
/// of 10 Mbit/s for longer than an answer may take.

#include "Connection/PeerMessage.h"
#include "Process/Configuration/ChangeLog.h"

#include <map>
#include <memory>

namespace samphireshunt {

/// Adds entries to messages. Many followers receive the same changes, so
/// compressed entries are cached until the log changes.
class StateEntries {
public:
  /// Adds \p Changes to \p State, whose number is the one up to which they
  /// reach; \p After is the number that they follow. \p MayPack: the receiver
  /// can read compressed entries.
  void put(const ChangeLog::Changes &Changes, bool MayPack, std::uint64_t After,
           wire::StateT &State);

private:
  struct Packed {
    std::vector<std::uint8_t> Bytes_;
    std::uint32_t UnpackedSize_ = 0;
  };

  /// Compressed changes by the number that they follow; complete ones under the
  /// highest number.
  std::map<std::uint64_t, std::shared_ptr<const Packed>> Packed_;
  std::uint64_t Last_ = 0;
};

/// The largest uncompressed size of a state unless another bound is set.
inline constexpr std::size_t MaxStateBytes = 8 * 1024 * 1024;

/// Decodes the changes in a message.
/// \returns MalformedRequest if the compressed entries can't be read, or are
/// longer than \p MaxBytes when uncompressed.
Result<ChangeLog::Changes> changesOf(const wire::StateT &State,
                                     std::size_t MaxBytes = MaxStateBytes);

} // namespace samphireshunt
