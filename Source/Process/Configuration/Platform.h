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

/// Number of a write of the key-value service; rises with each write.
using Revision = Quantity<struct RevisionTag>;

struct KeyValue {
  std::string Key_;
  std::string Value_;
  Revision Revision_;
  /// The key was removed by this write; only in what a watch returns.
  bool Deleted_ = false;
};

/// Entries under a prefix, and the revision up to which they are complete.
struct KeyValueList {
  std::vector<KeyValue> Entries_;
  Revision Revision_;
};

struct KeyValueWrite {
  std::string Key_;
  std::string Value_;
  /// The revision that the key must have; 0 when it must not exist.
  Revision Expected_;
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
struct PlatformHooks {
  std::function<Awaitable<Result<std::optional<KeyValue>>>(std::string Key)>
      Get_;
  std::function<Awaitable<Result<Revision>>(KeyValueWrite Write)> Put_;
  std::function<Awaitable<Result<void>>(std::string Key, Revision Expected)>
      Delete_;
  std::function<Awaitable<Result<KeyValueList>>(std::string Prefix)> List_;
  /// Returns when a key under the prefix changes after the revision, or with
  /// no entries after \p Wait.
  std::function<Awaitable<Result<KeyValueList>>(
      std::string Prefix, Revision After, std::chrono::milliseconds Wait)>
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
