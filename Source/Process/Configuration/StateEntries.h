#pragma once
/// \file
/// The entries of a state that one daemon tells another, packed where they are
/// many: thousands of servers would keep a link of 10 Mbit/s busy for longer
/// than an answer may take.

#include "Connection/PeerMessage.h"
#include "Process/Configuration/ChangeLog.h"

#include <map>
#include <memory>

namespace samphireshunt {

/// Puts the entries into a message. Many followers are told the same: what was
/// packed is kept until the log goes on.
class StateEntries {
public:
  /// \p Told has the log's number up to which \p Changes tell, and \p After is
  /// the one from which on. \p MayPack: the other daemon can read it.
  void put(const ChangeLog::Changes &Changes, bool MayPack, std::uint64_t After,
           wire::StateT &Told);

private:
  struct Packed {
    std::vector<std::uint8_t> Bytes_;
    std::uint32_t From_ = 0;
  };

  /// Of changes after a number, complete ones under the highest.
  std::map<std::uint64_t, std::shared_ptr<const Packed>> Packed_;
  std::uint64_t Last_ = 0;
};

/// The changes that a message tells. \returns MalformedRequest when what is
/// packed can't be read.
Result<ChangeLog::Changes> changesOf(const wire::StateT &Told);

} // namespace samphireshunt
