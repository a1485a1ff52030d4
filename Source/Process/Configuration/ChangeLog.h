#pragma once
/// \file
/// What a daemon believes the platform's service holds, as numbered changes,
/// for daemons that follow this one instead of the service. Pure.

#include "Process/Configuration/Platform.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace samphireshunt {

class ChangeLog {
public:
  /// Changes after a number; all that is believed when they are not known.
  struct Changes {
    bool Complete_ = false;
    std::vector<KeyValue> Entries_;
    /// When complete: keys of which is not known whether they still stand.
    std::vector<std::string> Unsure_;
  };

  /// Notes an entry as it was read; nothing when it is known so.
  void set(const KeyValue &Entry);
  void remove(const std::string &Key);
  /// Removes the keys under \p Prefix that \p Keep does not accept.
  /// \returns what they held.
  std::vector<KeyValue>
  removeUnless(const std::string &Prefix,
               const std::function<bool(const std::string &Name)> &Keep);

  std::uint64_t last() const { return Last_; }
  /// \p Apart: a key that is told in another way.
  Changes since(std::uint64_t Number, std::string_view Apart = {}) const;
  /// \returns a null pointer when \p Key is not known or was removed.
  const KeyValue *find(const std::string &Key) const;

private:
  /// Removals are kept in mind up to so many: servers come and go for ever.
  static constexpr std::size_t MostRemovals = 1000;

  struct Noted {
    KeyValue Entry_;
    std::uint64_t Number_ = 0;
  };
  void forgetOldRemovals();

  std::map<std::string, Noted> Entries_;
  std::size_t Removals_ = 0;
  std::uint64_t Last_ = 0;
  /// Changes up to this number may be missing.
  std::uint64_t Forgotten_ = 0;
};

} // namespace samphireshunt
