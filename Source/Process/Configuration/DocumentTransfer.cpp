#include "Process/Configuration/DocumentTransfer.h"

#include "Common/Hash.h"
#include "Process/Configuration/TextPacking.h"

#include <algorithm>

namespace samphireshunt {

void DocumentTexts::keep(Revision Number, const std::string &Text) {
  if (Number <= newest() || Text.size() > MaxTextBytes)
    return;
  Texts_[Number] = Text;
  NewestHash_ = stableHash(Text);
  Packed_.clear();
  if (Texts_.size() > MostTexts)
    Texts_.erase(Texts_.begin());
}

const std::string *DocumentTexts::find(Revision Number) const {
  auto Found = Texts_.find(Number);
  return Found == Texts_.end() ? nullptr : &Found->second;
}

Revision DocumentTexts::newest() const {
  return Texts_.empty() ? Revision() : Texts_.rbegin()->first;
}

const std::string &DocumentTexts::packed(Revision Held) {
  auto [Found, Added] = Packed_.try_emplace(Held);
  if (!Added)
    return Found->second;
  const std::string *Prefix = find(Held);
  auto Made = packText(Texts_.rbegin()->second, Prefix ? *Prefix : "");
  return Found->second = std::move(Made).value_or("");
}

wire::TextPartT DocumentTexts::part(const wire::TextAskT &Asked) {
  wire::TextPartT Part;
  Part.revision = Asked.revision;
  Part.offset = Asked.offset;
  Revision Wanted(Asked.revision);
  if (Texts_.empty() || Wanted != newest())
    return Part;
  Revision Held(Asked.held);
  Revision Prefix = Held < Wanted && find(Held) ? Held : Revision();
  const std::string &Whole = packed(Prefix);
  if (Asked.offset >= Whole.size())
    return Part;
  Part.held = Prefix.count();
  Part.size = static_cast<std::uint32_t>(Texts_.rbegin()->second.size());
  Part.hash = NewestHash_;
  Part.packed_size = static_cast<std::uint32_t>(Whole.size());
  auto Bytes = std::string_view(Whole).substr(Asked.offset, TextPartBytes);
  Part.bytes.assign(Bytes.begin(), Bytes.end());
  return Part;
}

bool DocumentTransfer::lacks(Revision Named, Revision Held) const {
  return Named > std::max(Held, Finished_);
}

std::optional<wire::TextAskT> DocumentTransfer::named(Revision Wanted,
                                                      std::size_t Size,
                                                      Revision Held,
                                                      TimePoint Now) {
  if (Size == 0 || Size > MaxTextBytes)
    return std::nullopt;
  if (Wanted == Wanted_ && Now - AskedAt_ < PartTime)
    return std::nullopt;
  if (Wanted != Wanted_) {
    drop();
    Wanted_ = Wanted;
    Size_ = Size;
    Held_ = Wanted == BrokenOnce_ ? Revision() : Held;
  }
  AskedAt_ = Now;
  return question();
}

wire::TextAskT DocumentTransfer::question() const {
  wire::TextAskT Question;
  Question.revision = Wanted_.count();
  Question.held = Held_.count();
  Question.offset = static_cast<std::uint32_t>(Packed_.size());
  return Question;
}

DocumentTransfer::Step DocumentTransfer::received(const wire::TextPartT &Part,
                                                  const DocumentTexts &Held,
                                                  TimePoint Now) {
  // Another text was asked for since, or this part twice.
  if (Wanted_ == Revision() || Revision(Part.revision) != Wanted_ ||
      Part.offset != Packed_.size())
    return {};
  // The reader has a newer one, which it names.
  if (Part.size == 0) {
    drop();
    return {};
  }
  if (Packed_.empty()) {
    PackedSize_ = Part.packed_size;
    Hash_ = Part.hash;
    Prefix_ = Revision(Part.held);
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
                  Part.hash == Hash_ && Revision(Part.held) == Prefix_;
  bool AsAsked = Prefix_ == Held_ || Prefix_ == Revision();
  return AsBefore && AsAsked && !Part.bytes.empty() &&
         PackedSize_ <= mostPacked(Size_) &&
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
  Wanted_ = Revision();
  Packed_ = std::string();
}

} // namespace samphireshunt
