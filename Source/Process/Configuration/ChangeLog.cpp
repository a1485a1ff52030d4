#include "Process/Configuration/ChangeLog.h"

#include "Common/Hash.h"

#include <fmt/format.h>

#include <algorithm>

namespace samphireshunt {

void ChangeLog::set(const KeyValue &Entry) {
  LoggedEntry &Target = Entries_[Entry.Key_];
  bool Known = Target.Number_ > 0;
  // A key that was removed and written again may have the same value as before.
  // Its newer position must still count as a change, for followers that know of
  // the removal.
  if (Known && !Target.Entry_.Deleted_ &&
      Target.Entry_.Value_ == Entry.Value_ &&
      Target.Entry_.Position_ >= Entry.Position_)
    return;
  if (Known && Target.Entry_.Deleted_)
    --Removals_;
  Target.Entry_ = Entry;
  Target.Number_ = ++Last_;
}

void ChangeLog::remove(const std::string &Key) {
  auto Found = Entries_.find(Key);
  if (Found == Entries_.end() || Found->second.Entry_.Deleted_)
    return;
  Found->second.Entry_.Deleted_ = true;
  Found->second.Entry_.Value_.clear();
  Found->second.Number_ = ++Last_;
  ++Removals_;
  forgetOldRemovals();
}

std::vector<KeyValue> ChangeLog::removeUnless(
    const std::string &Prefix,
    const std::function<bool(const std::string &Name)> &Keep) {
  std::vector<KeyValue> Removed;
  for (const auto &[Key, Known] : Entries_)
    if (Key.starts_with(Prefix) && !Known.Entry_.Deleted_ &&
        !Keep(Key.substr(Prefix.size())))
      Removed.push_back(Known.Entry_);
  for (const KeyValue &Entry : Removed)
    remove(Entry.Key_);
  return Removed;
}

void ChangeLog::forgetOldRemovals() {
  while (Removals_ > MaxRemovals) {
    auto Oldest = Entries_.end();
    for (auto Item = Entries_.begin(); Item != Entries_.end(); ++Item)
      if (Item->second.Entry_.Deleted_ &&
          (Oldest == Entries_.end() ||
           Item->second.Number_ < Oldest->second.Number_))
        Oldest = Item;
    Forgotten_ = std::max(Forgotten_, Oldest->second.Number_);
    Entries_.erase(Oldest);
    --Removals_;
  }
}

const KeyValue *ChangeLog::find(const std::string &Key) const {
  auto Found = Entries_.find(Key);
  bool Known = Found != Entries_.end() && !Found->second.Entry_.Deleted_;
  return Known ? &Found->second.Entry_ : nullptr;
}

std::uint64_t ChangeLog::digest(const std::string &Prefix) const {
  std::uint64_t Digest = 0;
  for (auto Item = Entries_.lower_bound(Prefix);
       Item != Entries_.end() && Item->first.starts_with(Prefix); ++Item)
    if (const KeyValue &Entry = Item->second.Entry_; !Entry.Deleted_)
      Digest ^= stableHash(fmt::format("{}\n{}\n{}", Entry.Key_,
                                       Entry.Position_.Era_.count(),
                                       Entry.Position_.Revision_.count()),
                           stableHash(Entry.Value_));
  return Digest;
}

ChangeLog::Changes ChangeLog::since(std::uint64_t Number,
                                    std::string_view ExcludedKey) const {
  Changes Found;
  Found.Complete_ = Number == 0 || Number < Forgotten_ || Number > Last_;
  for (const auto &[Key, Known] : Entries_) {
    bool Wanted =
        Found.Complete_ ? !Known.Entry_.Deleted_ : Known.Number_ > Number;
    if (Wanted && Key != ExcludedKey)
      Found.Entries_.push_back(Known.Entry_);
  }
  return Found;
}

} // namespace samphireshunt
