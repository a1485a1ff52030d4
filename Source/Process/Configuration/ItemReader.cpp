#include "Process/Configuration/ItemReader.h"

#include <utility>

namespace samphireshunt {

namespace {

using Json = nlohmann::json;

constexpr std::string_view Replacement = "\xef\xbf\xbd";

std::string keyOf(const Json &Item, const ItemFields &Fields) {
  if (!Item.is_object())
    return {};
  auto Found = Item.find(Fields.Key_);
  bool Readable = Found != Item.end() && Found->is_string();
  return Readable ? Found->get<std::string>() : std::string();
}

Revision revisionOf(const Json &Item, const ItemFields &Fields) {
  if (!Item.is_object())
    return {};
  auto Found = Item.find(Fields.Revision_);
  bool Readable = Found != Item.end() && Found->is_number_unsigned();
  return Readable ? Revision(Found->get<std::uint64_t>()) : Revision();
}

bool hasReplaced(const Json &Value) {
  return Value.dump().find(Replacement) != std::string::npos;
}

/// \returns whether bytes were replaced in a member other than \p Items.
bool hasReplacedBeside(const Json &Root, const Json &Items) {
  for (const auto &Member : Root.items())
    if (&Member.value() != &Items &&
        (hasReplaced(Member.key()) || hasReplaced(Member.value())))
      return true;
  return false;
}

Result<KeyValue> readItem(const StoreAnswer &Answer, const Json &Item,
                          const ItemFields &Fields, const ItemReader &Read) {
  if (keyOf(Item, Fields).empty())
    return Failure{ResultCode::DocumentSchema, "has no key"};
  if (Answer.Replaced_ && hasReplaced(Item))
    return Failure{ResultCode::DocumentSchema, "is not UTF-8"};
  return readGuarded<KeyValue>(ResultCode::DocumentSchema,
                               [&] { return Read(Item); });
}

} // namespace

Result<StoreAnswer> readStoreAnswer(std::string_view Text, StoreEra Era) {
  auto Parsed = readJson(Text);
  bool Replaced = !Parsed && !isUtf8(Text);
  if (Replaced)
    Parsed = readJson(withReplacedBytes(Text));
  if (!Parsed)
    return Failure{ResultCode::PlatformUnavailable, Parsed.error().Detail_};
  return StoreAnswer{std::move(Parsed->Root_), Era, Replaced};
}

Result<void> readItems(const StoreAnswer &Answer, const Json &Items,
                       const ItemFields &Fields, const ItemReader &Read,
                       KeyValueList &List) {
  if (!Items.is_array() && !Items.is_null())
    return Failure{ResultCode::PlatformUnavailable, "the items are no list"};
  if (Answer.Replaced_ && hasReplacedBeside(Answer.Root_, Items))
    return Failure{ResultCode::PlatformUnavailable, "is not UTF-8"};
  for (const Json &Item : Items) {
    auto Entry = readItem(Answer, Item, Fields, Read);
    if (Entry) {
      List.Refused_.erase(Entry->Key_);
      List.Entries_.push_back(std::move(*Entry));
    } else {
      List.Refused_[keyOf(Item, Fields)] = {
          {Answer.Era_, revisionOf(Item, Fields)}, Entry.error().Detail_};
    }
  }
  return {};
}

} // namespace samphireshunt
