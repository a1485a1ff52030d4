#include "Process/Configuration/DocumentTransfer.h"

#include "Common/Hash.h"
#include "Process/Configuration/TextPacking.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <numeric>
#include <vector>

namespace samphireshunt {

void DocumentTexts::store(DocumentVersion Number, const std::string &Text) {
  if (Number <= newest() || Text.size() > MaxBytes_)
    return;
  auto Compressed = packText(Text, "");
  if (!Compressed)
    return;
  Texts_[Number] = {std::move(*Compressed), Text.size(), stableHash(Text), 0};
  forgetTexts();
}

std::optional<std::string> DocumentTexts::find(DocumentVersion Number) const {
  auto Found = Texts_.find(Number);
  if (Found == Texts_.end())
    return std::nullopt;
  return unpackText(Found->second.Packed_, Found->second.Size_, "");
}

DocumentVersion DocumentTexts::newest() const {
  return Texts_.empty() ? DocumentVersion() : Texts_.rbegin()->first;
}

/// The texts asked for last stay, then the newest ones.
void DocumentTexts::forgetTexts() {
  std::vector<std::map<DocumentVersion, StoredText>::iterator> Earlier;
  for (auto Item = Texts_.begin(); Item != std::prev(Texts_.end()); ++Item)
    Earlier.push_back(Item);
  std::ranges::sort(Earlier, std::greater<>(), [](const auto &Item) {
    return std::pair(Item->second.Asked_, Item->first);
  });
  std::size_t Bytes = 0;
  std::size_t Asked = 0;
  auto OldestRecent = Texts_.size() > MaxTexts
                          ? std::prev(Texts_.end(), MaxTexts)->first
                          : DocumentVersion();
  for (auto &Item : Earlier) {
    std::size_t Size = Item->second.Packed_.size();
    bool InUse = Item->second.Asked_ > 0 && ++Asked <= MaxAskedTexts;
    if ((InUse || Item->first >= OldestRecent) &&
        Bytes + Size <= maxEarlierBytes())
      Bytes += Size;
    else
      Texts_.erase(Item);
  }
  std::erase_if(Packed_, [this](const auto &Item) {
    return !Texts_.contains(Item.first.first);
  });
}

void DocumentTexts::forgetPackings() {
  auto Bytes = [this] {
    return std::accumulate(Packed_.begin(), Packed_.end(), std::size_t(0),
                           [](std::size_t Sum, const auto &Item) {
                             return Sum + Item.second.Bytes_.size();
                           });
  };
  while (Packed_.size() > MinPackings && Bytes() > maxPackingBytes())
    Packed_.erase(std::ranges::min_element(
        Packed_, {}, [](const auto &Item) { return Item.second.Used_; }));
}

const std::string &DocumentTexts::packed(DocumentVersion Number,
                                         DocumentVersion PrefixVersion) {
  if (PrefixVersion == DocumentVersion())
    return Texts_.at(Number).Packed_;
  auto Found = Packed_.try_emplace({Number, PrefixVersion}).first;
  Found->second.Used_ = Requests_;
  if (!Found->second.Bytes_.empty())
    return Found->second.Bytes_;
  auto Text = find(Number);
  auto Prefix = find(PrefixVersion);
  if (Text && Prefix)
    Found->second.Bytes_ = packText(*Text, *Prefix).value_or("");
  forgetPackings();
  return Found->second.Bytes_;
}

DocumentVersion DocumentTexts::prefixFor(DocumentVersion Number,
                                         DocumentVersion Known) const {
  bool Usable = Known < Number &&
                (Texts_.contains(Known) || Packed_.contains({Number, Known}));
  return Usable ? Known : DocumentVersion();
}

/// A follower may ask for an older text that it has begun to receive.
bool DocumentTexts::newestIsSooner(DocumentVersion Wanted,
                                   DocumentVersion Known, std::size_t Left) {
  return Wanted != newest() &&
         packed(newest(), prefixFor(newest(), Known)).size() < Left;
}

wire::TextPartT DocumentTexts::chunk(const wire::TextAskT &Request) {
  wire::TextPartT Chunk;
  Chunk.version = Request.version;
  Chunk.offset = Request.offset;
  DocumentVersion Wanted(Request.version);
  DocumentVersion Known(Request.held_version);
  auto Text = Texts_.find(Wanted);
  if (Text == Texts_.end())
    return Chunk;
  Text->second.Asked_ = ++Requests_;
  if (auto Held = Texts_.find(Known); Held != Texts_.end())
    Held->second.Asked_ = Requests_;
  DocumentVersion Prefix = prefixFor(Wanted, Known);
  std::size_t Size = packed(Wanted, Prefix).size();
  if (Request.offset >= Size ||
      newestIsSooner(Wanted, Known, Size - Request.offset))
    return Chunk;
  Chunk.held_version = Prefix.count();
  Chunk.size = static_cast<std::uint32_t>(Text->second.Size_);
  Chunk.hash = Text->second.Hash_;
  Chunk.packed_size = static_cast<std::uint32_t>(Size);
  auto Bytes = std::string_view(packed(Wanted, Prefix))
                   .substr(Request.offset, TextChunkBytes);
  Chunk.bytes.assign(Bytes.begin(), Bytes.end());
  return Chunk;
}

bool DocumentTransfer::lacks(DocumentVersion Announced,
                             DocumentVersion Known) const {
  return Announced > std::max(Known, Finished_);
}

std::optional<wire::TextAskT>
DocumentTransfer::onAnnounced(DocumentVersion Wanted,
                              std::optional<std::size_t> Size,
                              DocumentVersion Known, TimePoint Now) {
  if (Size && (*Size == 0 || *Size > MaxBytes_))
    return std::nullopt;
  bool Begun = Wanted == Wanted_ || !Packed_.empty();
  if (Begun && Now - RequestedAt_ < MaxChunkTime_)
    return std::nullopt;
  if (Wanted != Wanted_) {
    drop();
    Wanted_ = Wanted;
    Size_ = Size;
    RequestedPrefix_ = Wanted == LastInvalid_ ? DocumentVersion() : Known;
  }
  RequestedAt_ = Now;
  return nextRequest();
}

wire::TextAskT DocumentTransfer::nextRequest() const {
  wire::TextAskT Request;
  Request.version = Wanted_.count();
  Request.held_version = RequestedPrefix_.count();
  Request.offset = static_cast<std::uint32_t>(Packed_.size());
  return Request;
}

DocumentTransfer::Step DocumentTransfer::received(const wire::TextPartT &Chunk,
                                                  const DocumentTexts &Texts,
                                                  TimePoint Now) {
  // Another text was requested since, or this chunk arrived twice.
  if (Wanted_ == DocumentVersion() ||
      DocumentVersion(Chunk.version) != Wanted_ ||
      Chunk.offset != Packed_.size())
    return {};
  // The reader has a newer text, which it announces.
  if (Chunk.size == 0) {
    drop();
    return {};
  }
  if (Packed_.empty()) {
    Size_ = Size_.value_or(Chunk.size);
    PackedSize_ = Chunk.packed_size;
    Hash_ = Chunk.hash;
    Prefix_ = DocumentVersion(Chunk.held_version);
  }
  if (forgotPrefix(Chunk)) {
    drop();
    return {};
  }
  if (!fits(Chunk))
    return broken();
  Packed_.append(Chunk.bytes.begin(), Chunk.bytes.end());
  ReceivedAt_ = Now;
  if (Packed_.size() == PackedSize_)
    return finish(Chunk, Texts);
  RequestedAt_ = Now;
  Step Next;
  Next.Request_ = nextRequest();
  return Next;
}

bool DocumentTransfer::forgotPrefix(const wire::TextPartT &Chunk) const {
  return !Packed_.empty() && Prefix_ != DocumentVersion() &&
         DocumentVersion(Chunk.held_version) == DocumentVersion() &&
         Chunk.hash == Hash_ && Chunk.size == Size_;
}

bool DocumentTransfer::fits(const wire::TextPartT &Chunk) const {
  bool AsBefore = Chunk.size == Size_ && Chunk.packed_size == PackedSize_ &&
                  Chunk.hash == Hash_ &&
                  DocumentVersion(Chunk.held_version) == Prefix_;
  bool AsRequested =
      Prefix_ == RequestedPrefix_ || Prefix_ == DocumentVersion();
  return AsBefore && AsRequested && !Chunk.bytes.empty() &&
         Chunk.size <= MaxBytes_ && PackedSize_ <= maxPackedSize(*Size_) &&
         Chunk.bytes.size() <= PackedSize_ - Packed_.size();
}

DocumentTransfer::Step
DocumentTransfer::finish(const wire::TextPartT &LastChunk,
                         const DocumentTexts &Texts) {
  std::string Prefix = Texts.find(Prefix_).value_or("");
  auto Text = unpackText(Packed_, LastChunk.size, Prefix);
  if (!Text || stableHash(*Text) != Hash_)
    return broken();
  Finished_ = Wanted_;
  drop();
  Step Done;
  Done.Text_ = std::move(Text);
  return Done;
}

DocumentTransfer::Step DocumentTransfer::broken() {
  LastInvalid_ = Wanted_;
  drop();
  Step Failed;
  Failed.Invalid_ = true;
  return Failed;
}

bool DocumentTransfer::arriving(TimePoint Now) const {
  return !Packed_.empty() && Now - ReceivedAt_ < MaxChunkTime_;
}

void DocumentTransfer::drop() {
  Wanted_ = DocumentVersion();
  Packed_ = std::string();
}

} // namespace samphireshunt
