#pragma once
/// \file
/// The platform as this program sees it: a key-value service with
/// compare-and-swap and watches, and a lagging list of VMs. Hooks, so that
/// another wire protocol or a fake can take the place of ours.

#include "Common/Ids.h"
#include "Common/ResultCode.h"
#include "Connection/Http.h"

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace samphireshunt {

/// Number of a write of the key-value service; rises with each write of an era.
using Revision = Quantity<struct RevisionTag>;
/// How often the service came back from an older copy. What was written after
/// the copy is lost then, and its revisions are given out again.
using StoreEra = Quantity<struct StoreEraTag>;

/// Where the service stands, or stood at a write. Ordered by era, then by
/// revision.
struct StorePosition {
  StoreEra Era_;
  Revision Revision_;
  // NOLINTNEXTLINE: blames the code that the compiler writes here.
  auto operator<=>(const StorePosition &) const = default;
};

struct KeyValue {
  std::string Key_;
  std::string Value_;
  /// Of the write.
  StorePosition Position_;
  /// The key was removed by this write; only in what a watch returns.
  bool Deleted_ = false;
};

/// Entries under a prefix, and the position up to which they are complete.
struct KeyValueList {
  std::vector<KeyValue> Entries_;
  StorePosition Position_;
};

struct KeyValueWrite {
  std::string Key_;
  std::string Value_;
  /// Where the key must have been written last; revision 0 when it must not
  /// exist.
  StorePosition Expected_;
  /// After this the service may drop the key; 0 is never.
  std::chrono::milliseconds TimeToLive_{0};
};

enum class VmRole { System, Backend };

struct ListedVm {
  VmId Id_;
  VmRole Role_ = VmRole::System;
  bool Leaving_ = false;
  /// Where daemons listen for peers, or a backend server for requests.
  std::string Address_;
  /// Where a daemon listens for operators.
  std::string OperatorAddress_;
};

/// All calls run on the caller's executor. PlatformUnavailable leaves open
/// whether a write took effect; VersionConflict says that it did not.
/// HistoryLost: the changes since a revision are no longer known, list anew.
/// StoreRestored: the call spans two eras; of a write it leaves open whose
/// value stands. BadStoreEra: the answer's era can't be read.
struct PlatformHooks {
  std::function<Awaitable<Result<std::optional<KeyValue>>>(std::string Key)>
      Get_;
  std::function<Awaitable<Result<StorePosition>>(KeyValueWrite Write)> Put_;
  std::function<Awaitable<Result<void>>(std::string Key,
                                        StorePosition Expected)>
      Delete_;
  std::function<Awaitable<Result<KeyValueList>>(std::string Prefix)> List_;
  /// Returns when a key under the prefix changes after the revision, or with
  /// no entries after \p Wait.
  std::function<Awaitable<Result<KeyValueList>>(
      std::string Prefix, StorePosition After, std::chrono::milliseconds Wait)>
      Watch_;
  /// True while the answer of a list or a watch is coming: its head is read,
  /// its end is not. Unset: never known.
  std::function<bool()> AnswerComes_;
  std::function<Awaitable<Result<std::vector<ListedVm>>>()> Vms_;
};

/// Hooks that speak HTTP and JSON with the service at \p Address; each call
/// takes \p Timeout at the most.
PlatformHooks httpPlatform(Endpoint Address, std::chrono::milliseconds Timeout);

} // namespace samphireshunt
