#include "Process/Configuration/ItemReader.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace samphireshunt {

namespace {

using Json = nlohmann::json;

constexpr std::string_view Replacement = "\xef\xbf\xbd";

std::string keyOf(const Json &Item, const ListFormat &Format) {
  if (!Item.is_object())
    return {};
  auto Found = Item.find(Format.Key_);
  bool Readable = Found != Item.end() && Found->is_string();
  return Readable ? Found->get<std::string>() : std::string();
}

Revision revisionOf(const Json &Item, const ListFormat &Format) {
  if (!Item.is_object())
    return {};
  auto Found = Item.find(Format.Revision_);
  bool Readable = Found != Item.end() && Found->is_number_unsigned();
  return Readable ? Revision(Found->get<std::uint64_t>()) : Revision();
}

bool hasReplaced(const Json &Value) {
  return Value.dump().find(Replacement) != std::string::npos;
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

ListReader::ListReader(ListFormat Format, AnswerSplitter::Limits Bounds,
                       StoreEra Era)
    : Format_(std::move(Format)), Era_(Era),
      Splitter_(
          Format_.Items_, Bounds,
          [this](AnswerSplitter::Item Item) { take(std::move(Item)); },
          Format_.CheckSkipped_) {}

Result<void> ListReader::feed(std::string_view Bytes) {
  auto Done = Splitter_.feed(Bytes);
  if (Done && Fault_)
    return *Fault_;
  return Done;
}

void ListReader::take(AnswerSplitter::Item Item) {
  auto Parsed = readStoreAnswer(Item.Text_, Era_);
  if (!Parsed) {
    Fault_ = Parsed.error();
    return;
  }
  // Not held beside the value.
  std::string().swap(Item.Text_);
  auto Entry = read(*Parsed);
  auto Size = tooLarge(Entry, Item.LeftOut_);
  if (Entry && !Size) {
    List_.Refused_.erase(Entry->Key_);
    List_.Entries_.push_back(std::move(*Entry));
    return;
  }
  std::string Key = keyOf(Parsed->Root_, Format_);
  RefusedItem Refused;
  Refused.Position_ = {Era_, revisionOf(Parsed->Root_, Format_)};
  if (Size && Size->Invalid_ && Key == Format_.CheckedKey_) {
    Refused.Code_ = Size->Invalid_->Code_;
    Refused.Detail_ = Size->Invalid_->Detail_;
    Refused.Size_ = Size->Size_;
  } else if (Size) {
    Refused.Code_ = ResultCode::ValueTooLarge;
    Refused.Size_ = Size->Size_;
    Refused.Bound_ = Size->Bound_;
    Refused.Detail_ =
        fmt::format("{} bytes, the bound is {}", Size->Size_, Size->Bound_);
  } else {
    Refused.Detail_ = Entry.error().Detail_;
  }
  List_.Refused_[std::move(Key)] = std::move(Refused);
}

std::optional<AnswerSplitter::LeftOut> ListReader::tooLarge(
    const Result<KeyValue> &Entry,
    const std::optional<AnswerSplitter::LeftOut> &LeftOut) const {
  if (LeftOut) {
    AnswerSplitter::LeftOut Large = *LeftOut;
    Large.Size_ = Format_.ValueBytes_(LeftOut->Size_ - AnswerSplitter::Quotes);
    Large.Bound_ =
        std::min(Format_.ValueBytes_(LeftOut->Bound_), Format_.MaxValueBytes_);
    return Large;
  }
  if (Entry && Entry->Value_.size() > Format_.MaxValueBytes_)
    return AnswerSplitter::LeftOut{Entry->Value_.size(),
                                   Format_.MaxValueBytes_};
  return std::nullopt;
}

Result<KeyValue> ListReader::read(const StoreAnswer &Item) const {
  if (keyOf(Item.Root_, Format_).empty())
    return Failure{ResultCode::DocumentSchema, "has no key"};
  if (Item.Replaced_ && hasReplaced(Item.Root_))
    return Failure{ResultCode::DocumentSchema, "is not UTF-8"};
  return readGuarded<KeyValue>(ResultCode::DocumentSchema,
                               [&] { return Format_.Read_(Item); });
}

Result<StoreAnswer> ListReader::finish(KeyValueList &List) {
  if (!whole())
    return Failure{ResultCode::PlatformUnavailable, "the body is cut"};
  auto Body = readStoreAnswer(Splitter_.rest(), Era_);
  if (!Body)
    return Body;
  const Json &Root = Body->Root_;
  if (!Root.is_object())
    return Failure{ResultCode::PlatformUnavailable,
                   "body is not a JSON object"};
  if (Body->Replaced_)
    return Failure{ResultCode::PlatformUnavailable, "is not UTF-8"};
  auto Items = Root.find(Format_.Items_);
  bool Listed = Items != Root.end() && !Items->is_null();
  if (Listed && (!Items->is_array() || !Splitter_.foundList()))
    return Failure{ResultCode::PlatformUnavailable, "the items are no list"};
  List = std::move(List_);
  return Body;
}

HttpBodyHooks IncomingList::hooks(const std::shared_ptr<IncomingList> &Target,
                                  std::function<void()> OnHead) {
  constexpr int StatusOk = 200;
  HttpBodyHooks Hooks;
  Hooks.Begin_ = [Target, OnHead = std::move(OnHead)](const auto &Head) {
    if (OnHead)
      OnHead();
    if (Head.Status_ == StatusOk)
      Target->begin(Head);
  };
  Hooks.Take_ = [Target](std::string_view Bytes) -> Result<void> {
    return Target->Reader_ ? Target->Reader_->feed(Bytes) : Result<void>();
  };
  Hooks.IsWhole_ = [Target] {
    return Target->Reader_ && Target->Reader_->whole();
  };
  return Hooks;
}

void IncomingList::begin(const HttpResponse &Head) {
  auto Era = ReadEra_(Head.Fields_);
  if (Era)
    Reader_ = std::make_unique<ListReader>(Format_, Bounds_, *Era);
  else
    BadEra_ = Era.error();
}

Result<StoreAnswer> IncomingList::finish(KeyValueList &List) {
  if (BadEra_)
    return *BadEra_;
  if (!Reader_)
    return Failure{ResultCode::PlatformUnavailable, "no body was read"};
  return Reader_->finish(List);
}

} // namespace samphireshunt
