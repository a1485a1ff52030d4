#include "Process/Configuration/DocumentTransfer.h"

#include "Common/Hash.h"
#include "Process/Configuration/TextPacking.h"

#include <algorithm>

namespace samphireshunt {

void DocumentTexts::keep(DocumentVersion Number, const std::string &Text) {
  if (Number <= newest() || Text.size() > MaxTextBytes)
    return;
  Texts_[Number] = Text;
  NewestHash_ = stableHash(Text);
  Packed_.clear();
  if (Texts_.size() > MostTexts)
    Texts_.erase(Texts_.begin());
}

const std::string *DocumentTexts::find(DocumentVersion Number) const {
  auto Found = Texts_.find(Number);
  return Found == Texts_.end() ? nullptr : &Found->second;
}

DocumentVersion DocumentTexts::newest() const {
  return Texts_.empty() ? DocumentVersion() : Texts_.rbegin()->first;
}

const std::string &DocumentTexts::packed(DocumentVersion Held) {
  auto [Found, Added] = Packed_.try_emplace(Held);
  if (!Added)
    return Found->second;
  const std::string *Prefix = find(Held);
  auto Made = packText(Texts_.rbegin()->second, Prefix ? *Prefix : "");
  return Found->second = std::move(Made).value_or("");
}

wire::TextPartT DocumentTexts::part(const wire::TextAskT &Asked) {
  wire::TextPartT Part;
  Part.version = Asked.version;
  Part.offset = Asked.offset;
  DocumentVersion Wanted(Asked.version);
  if (Texts_.empty() || Wanted != newest())
    return Part;
  DocumentVersion Held(Asked.held_version);
  DocumentVersion Prefix =
      Held < Wanted && find(Held) ? Held : DocumentVersion();
  const std::string &Whole = packed(Prefix);
  if (Asked.offset >= Whole.size())
    return Part;
  Part.held_version = Prefix.count();
  Part.size = static_cast<std::uint32_t>(Texts_.rbegin()->second.size());
  Part.hash = NewestHash_;
  Part.packed_size = static_cast<std::uint32_t>(Whole.size());
  auto Bytes = std::string_view(Whole).substr(Asked.offset, TextPartBytes);
  Part.bytes.assign(Bytes.begin(), Bytes.end());
  return Part;
}

bool DocumentTransfer::lacks(DocumentVersion Named,
                             DocumentVersion Held) const {
  return Named > std::max(Held, Finished_);
}

std::optional<wire::TextAskT>
DocumentTransfer::named(DocumentVersion Wanted, std::optional<std::size_t> Size,
                        DocumentVersion Held, TimePoint Now) {
  if (Size && (*Size == 0 || *Size > MaxTextBytes))
    return std::nullopt;
  if (Wanted == Wanted_ && Now - AskedAt_ < PartTime)
    return std::nullopt;
  if (Wanted != Wanted_) {
    drop();
    Wanted_ = Wanted;
    Size_ = Size;
    Held_ = Wanted == BrokenOnce_ ? DocumentVersion() : Held;
  }
  AskedAt_ = Now;
  return question();
}

wire::TextAskT DocumentTransfer::question() const {
  wire::TextAskT Question;
  Question.version = Wanted_.count();
  Question.held_version = Held_.count();
  Question.offset = static_cast<std::uint32_t>(Packed_.size());
  return Question;
}

DocumentTransfer::Step DocumentTransfer::received(const wire::TextPartT &Part,
                                                  const DocumentTexts &Held,
                                                  TimePoint Now) {
  // Another text was requested since, or this chunk arrived twice.
  if (Wanted_ == DocumentVersion() ||
      DocumentVersion(Part.version) != Wanted_ || Part.offset != Packed_.size())
    return {};
  // The reader has a newer text, which it announces.
  if (Part.size == 0) {
    drop();
    return {};
  }
  if (Packed_.empty()) {
    Size_ = Size_.value_or(Part.size);
    PackedSize_ = Part.packed_size;
    Hash_ = Part.hash;
    Prefix_ = DocumentVersion(Part.held_version);
  }
  if (!fits(Part))
    return broken();
  Packed_.append(Part.bytes.begin(), Part.bytes.end());
  if (Packed_.size() == PackedSize_)
    return finish(Part, Held);
  AskedAt_ = Now;
  Step Next;
  Next.Ask_ = question();
  return Next;
}

bool DocumentTransfer::fits(const wire::TextPartT &Part) const {
  bool AsBefore = Part.size == Size_ && Part.packed_size == PackedSize_ &&
                  Part.hash == Hash_ &&
                  DocumentVersion(Part.held_version) == Prefix_;
  bool AsAsked = Prefix_ == Held_ || Prefix_ == DocumentVersion();
  return AsBefore && AsAsked && !Part.bytes.empty() &&
         Part.size <= MaxTextBytes && PackedSize_ <= mostPacked(*Size_) &&
         Part.bytes.size() <= PackedSize_ - Packed_.size();
}

DocumentTransfer::Step DocumentTransfer::finish(const wire::TextPartT &Last,
                                                const DocumentTexts &Held) {
  const std::string *Prefix = Held.find(Prefix_);
  auto Text = unpackText(Packed_, Last.size, Prefix ? *Prefix : "");
  if (!Text || stableHash(*Text) != Hash_)
    return broken();
  Finished_ = Wanted_;
  drop();
  Step Done;
  Done.Text_ = std::move(Text);
  return Done;
}

DocumentTransfer::Step DocumentTransfer::broken() {
  BrokenOnce_ = Wanted_;
  drop();
  Step Failed;
  Failed.Broken_ = true;
  return Failed;
}

void DocumentTransfer::drop() {
  Wanted_ = DocumentVersion();
  Packed_ = std::string();
}

} // namespace samphireshunt
