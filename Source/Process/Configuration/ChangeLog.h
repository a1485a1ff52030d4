#pragma once
/// \file
/// Numbered log of the platform store's contents as this daemon knows them, for
/// daemons that follow this one instead of the service. Pure.

#include "Process/Configuration/Platform.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace samphireshunt {

class ChangeLog {
public:
  /// Changes after a number, or all known entries if those changes are not
  /// known any more.
  struct Changes {
    bool Complete_ = false;
    std::vector<KeyValue> Entries_;
    /// Set only if complete: keys that may no longer be valid.
    std::vector<std::string> Unverified_;
  };

  /// Records an entry as it was read. Does nothing if the entry is already
  /// known.
  void set(const KeyValue &Entry);
  void remove(const std::string &Key);
  /// Removes the keys under \p Prefix whose names \p Keep rejects.
  /// \returns the removed entries.
  std::vector<KeyValue>
  removeUnless(const std::string &Prefix,
               const std::function<bool(const std::string &Name)> &Keep);

  std::uint64_t last() const { return Last_; }
  /// Leaves out \p ExcludedKey, which is sent in another way.
  Changes since(std::uint64_t Number, std::string_view ExcludedKey = {}) const;
  /// Digest of the entries under \p Prefix; 0 if there are none.
  std::uint64_t digest(const std::string &Prefix) const;
  /// \returns a null pointer if \p Key is unknown or was removed.
  const KeyValue *find(const std::string &Key) const;

private:
  /// Limits how many removals are remembered, since servers come and go
  /// indefinitely.
  static constexpr std::size_t MaxRemovals = 1000;

  struct LoggedEntry {
    KeyValue Entry_;
    std::uint64_t Number_ = 0;
  };
  void forgetOldRemovals();

  std::map<std::string, LoggedEntry> Entries_;
  std::size_t Removals_ = 0;
  std::uint64_t Last_ = 0;
  /// Changes up to this number may be missing.
  std::uint64_t Forgotten_ = 0;
};

} // namespace samphireshunt
