#pragma once
/// \file
/// The platform as this program uses it: a key-value service with
/// compare-and-swap and watches, and a list of VMs that may lag behind.
/// Accessed through hooks, so that another wire protocol or a fake can replace
/// the implementation over HTTP.

#include "Common/Ids.h"
#include "Common/ResultCode.h"
#include "Connection/Http.h"

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace samphireshunt {

/// What is held of an answer of the service: a page of a list, with a value of
/// one megabyte in base64 beside it. More if longer values are allowed.
inline constexpr std::size_t MaxStoreAnswerBytes = 4 * 1024 * 1024;

/// What a process can hold of the service's answers, in bytes.
struct StoreLimits {
  /// The longest value. A longer one is refused, and nothing else with it.
  std::size_t MaxValueBytes_ = 2 * 1024 * 1024;
};

/// Number of a write to the key-value service. Rises with each write of an era.
using Revision = Quantity<struct RevisionTag>;
/// How many times the service was restored from an older backup. A restore
/// loses everything written after the backup, and assigns its revisions again.
using StoreEra = Quantity<struct StoreEraTag>;

/// A position of the service, now or at a write. Ordered by era, then by
/// revision.
struct StorePosition {
  StoreEra Era_;
  Revision Revision_;
  // NOLINTNEXTLINE: the check reports code that the compiler generates here.
  auto operator<=>(const StorePosition &) const = default;
};

struct KeyValue {
  std::string Key_;
  std::string Value_;
  /// Position of the write.
  StorePosition Position_;
  /// The key was removed by this write. Set only in the results of a watch.
  bool Deleted_ = false;
};

/// An item of an answer that can't be read.
struct RefusedItem {
  /// Position of the write; revision 0 if that can't be read either.
  StorePosition Position_;
  std::string Detail_;
  /// ValueTooLarge if the value can't be held here, whatever it is.
  ResultCode Code_ = ResultCode::DocumentSchema;
  /// Of a value that is too large, and the most that can be held, in bytes.
  std::size_t Size_ = 0;
  std::size_t Bound_ = 0;
  bool operator==(const RefusedItem &) const = default;
};

/// Entries under a prefix, and the position up to which they are complete.
struct KeyValueList {
  std::vector<KeyValue> Entries_;
  StorePosition Position_;
  /// The items that can't be read, by key, which is empty if it can't be read
  /// either. A key is here only if the item is newer than those of Entries_
  /// with the same key.
  std::map<std::string, RefusedItem> Refused_{};

  /// \returns whether each item has a key, so that a key that is neither in
  /// Entries_ nor in Refused_ does not exist.
  bool hasAllKeys() const { return !Refused_.contains(""); }
};

struct KeyValueWrite {
  std::string Key_;
  std::string Value_;
  /// The position at which the key must have been written last; revision 0 if
  /// it must not exist.
  StorePosition Expected_;
  /// After this time the service may drop the key; 0: never.
  std::chrono::milliseconds TimeToLive_{0};
};

enum class VmRole { System, Backend };

struct ListedVm {
  VmId Id_;
  VmRole Role_ = VmRole::System;
  bool Leaving_ = false;
  /// Where a daemon listens for peers, or a backend server for requests.
  std::string Address_;
  /// Where a daemon listens for operators.
  std::string OperatorAddress_;
};

/// All calls run on the caller's executor. PlatformUnavailable leaves open
/// whether a write took effect; VersionConflict means that it did not.
/// HistoryLost: the changes since a revision are no longer available, so the
/// caller must list again. StoreRestored: the call spans two eras; after a
/// write it is unknown which value is stored. BadStoreEra: the answer's era
/// can't be parsed.
struct PlatformHooks {
  std::function<Awaitable<Result<std::optional<KeyValue>>>(std::string Key)>
      Get_;
  std::function<Awaitable<Result<StorePosition>>(KeyValueWrite Write)> Put_;
  std::function<Awaitable<Result<void>>(std::string Key,
                                        StorePosition Expected)>
      Delete_;
  std::function<Awaitable<Result<KeyValueList>>(std::string Prefix)> List_;
  /// Returns when a key under the prefix changes after the position, or without
  /// entries after \p Wait.
  std::function<Awaitable<Result<KeyValueList>>(
      std::string Prefix, StorePosition After, std::chrono::milliseconds Wait)>
      Watch_;
  /// True while the answer to a list or a watch is arriving: its head was read,
  /// its end was not. Unset if this can't be determined.
  std::function<bool()> AnswerArriving_;
  std::function<Awaitable<Result<std::vector<ListedVm>>>()> Vms_;
};

/// Hooks that use HTTP and JSON to call the service at \p Address. Each call
/// takes at most \p Timeout.
PlatformHooks httpPlatform(Endpoint Address, std::chrono::milliseconds Timeout,
                           StoreLimits Limits = {});

} // namespace samphireshunt
