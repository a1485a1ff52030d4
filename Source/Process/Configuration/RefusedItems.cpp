#include "Process/Configuration/RefusedItems.h"

#include "Common/JsonReader.h"
#include "Common/Log.h"

#include <utility>

namespace samphireshunt {

namespace {

void logRefused(const std::string &Key, const RefusedItem &Item) {
  LogFields Fields = {
      {"key", Key},
      {"code", std::to_string(static_cast<int>(Item.Code_))},
      {"detail", Item.Detail_},
      {"revision", std::to_string(Item.Position_.Revision_.count())}};
  if (Item.Code_ == ResultCode::ValueTooLarge) {
    Fields.emplace_back("size", std::to_string(Item.Size_));
    Fields.emplace_back("bound", std::to_string(Item.Bound_));
  }
  logEvent(LogCategory::Version, spdlog::level::err, "item-refused", Fields);
}

} // namespace

void RefusedItems::noteChanges(const KeyValueList &Changes) {
  if (!Known_.empty())
    for (const KeyValue &Entry : Changes.Entries_)
      Known_.erase(Entry.Key_);
  noteRefused(Changes.Refused_);
}

void RefusedItems::noteList(const std::string &Prefix,
                            const KeyValueList &Listed) {
  std::erase_if(Known_, [&](const auto &Item) {
    return Item.first.starts_with(Prefix) &&
           !Listed.Refused_.contains(Item.first);
  });
  noteRefused(Listed.Refused_);
}

void RefusedItems::noteRefused(
    const std::map<std::string, RefusedItem> &Refused) {
  for (const auto &[Key, Item] : Refused) {
    auto Known = Known_.find(Key);
    bool New = Known == Known_.end();
    if (!New && Known->second == Item)
      continue;
    ++Count_;
    TooLarge_ += Item.Code_ == ResultCode::ValueTooLarge ? 1 : 0;
    if (New && Known_.size() >= MaxKnown)
      continue;
    Known_[Key] = Item;
    logRefused(Key, Item);
  }
}

void applyGuarded(const std::string &Key, const std::function<void()> &Apply) {
  auto Applied = readGuarded<bool>(ResultCode::Internal, [&Apply] {
    Apply();
    return true;
  });
  if (!Applied)
    logEvent(LogCategory::Version, spdlog::level::err, "entry-not-applied",
             {{"key", Key},
              {"code", std::to_string(static_cast<int>(ResultCode::Internal))},
              {"detail", Applied.error().Detail_}});
}

namespace {

Awaitable<Result<KeyValueList>> notedList(Awaitable<Result<KeyValueList>> Inner,
                                          std::string Prefix,
                                          RefusedItems &Refused) {
  auto Listed = co_await std::move(Inner);
  if (Listed)
    Refused.noteList(Prefix, *Listed);
  co_return Listed;
}

Awaitable<Result<KeyValueList>>
notedWatch(Awaitable<Result<KeyValueList>> Inner, RefusedItems &Refused) {
  auto Changes = co_await std::move(Inner);
  if (Changes)
    Refused.noteChanges(*Changes);
  co_return Changes;
}

} // namespace

PlatformHooks notingRefusedItems(PlatformHooks Inner, RefusedItems &Refused) {
  PlatformHooks Hooks = Inner;
  Hooks.List_ = [Call = std::move(Inner.List_), &Refused](std::string Prefix) {
    return notedList(Call(Prefix), Prefix, Refused);
  };
  Hooks.Watch_ = [Call = std::move(Inner.Watch_),
                  &Refused](std::string Prefix, StorePosition After,
                            std::chrono::milliseconds Wait) {
    return notedWatch(Call(std::move(Prefix), After, Wait), Refused);
  };
  return Hooks;
}

} // namespace samphireshunt
