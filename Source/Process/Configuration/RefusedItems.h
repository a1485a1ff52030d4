#pragma once
/// \file
/// Items of the platform's service that can't be read. Each is logged once and
/// counted; the others in the same answer are used.

#include "Process/Configuration/Platform.h"

#include <cstdint>
#include <map>
#include <string>

namespace samphireshunt {

class RefusedItems {
public:
  /// Logs and counts the items that \p Changes refuses, unless they are known.
  /// Those that it has in full, or removed, are no longer refused.
  void noteChanges(const KeyValueList &Changes);
  /// The same for all keys under \p Prefix.
  void noteList(const std::string &Prefix, const KeyValueList &Listed);
  /// \returns how many were refused so far.
  std::uint64_t count() const { return Count_; }
  /// \returns how many of them for their size.
  std::uint64_t tooLarge() const { return TooLarge_; }
  /// \returns the keys of those that have not been replaced by a readable one.
  const std::map<std::string, RefusedItem> &current() const { return Known_; }

private:
  /// Any client can write to the service, so memory and log lines are limited.
  static constexpr std::size_t MaxKnown = 1000;

  void noteRefused(const std::map<std::string, RefusedItem> &Refused);

  std::map<std::string, RefusedItem> Known_;
  std::uint64_t Count_ = 0;
  std::uint64_t TooLarge_ = 0;
};

/// Runs \p Apply for the entry of \p Key and logs an exception that escapes. It
/// must not keep the other entries from being applied: they would be read
/// again, and fail again, as long as that entry exists.
void applyGuarded(const std::string &Key, const std::function<void()> &Apply);

/// Wraps \p Inner so that \p Refused, which must outlive the hooks, notes all
/// lists and watches.
PlatformHooks notingRefusedItems(PlatformHooks Inner, RefusedItems &Refused);

} // namespace samphireshunt
