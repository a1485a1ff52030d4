#include "Process/Configuration/DocumentTransfer.h"

#include "Common/Hash.h"
#include "Process/Configuration/TextPacking.h"

#include <algorithm>

namespace samphireshunt {

void DocumentTexts::store(DocumentVersion Number, const std::string &Text) {
  if (Number <= newest() || Text.size() > MaxTextBytes)
    return;
  Texts_[Number] = Text;
  NewestHash_ = stableHash(Text);
  Packed_.clear();
  if (Texts_.size() > MaxTexts)
    Texts_.erase(Texts_.begin());
}

const std::string *DocumentTexts::find(DocumentVersion Number) const {
  auto Found = Texts_.find(Number);
  return Found == Texts_.end() ? nullptr : &Found->second;
}

DocumentVersion DocumentTexts::newest() const {
  return Texts_.empty() ? DocumentVersion() : Texts_.rbegin()->first;
}

const std::string &DocumentTexts::packed(DocumentVersion PrefixVersion) {
  auto [Found, Added] = Packed_.try_emplace(PrefixVersion);
  if (!Added)
    return Found->second;
  const std::string *Prefix = find(PrefixVersion);
  auto Compressed = packText(Texts_.rbegin()->second, Prefix ? *Prefix : "");
  return Found->second = std::move(Compressed).value_or("");
}

wire::TextPartT DocumentTexts::chunk(const wire::TextAskT &Request) {
  wire::TextPartT Chunk;
  Chunk.version = Request.version;
  Chunk.offset = Request.offset;
  DocumentVersion Wanted(Request.version);
  if (Texts_.empty() || Wanted != newest())
    return Chunk;
  DocumentVersion Known(Request.held_version);
  DocumentVersion Prefix =
      Known < Wanted && find(Known) ? Known : DocumentVersion();
  const std::string &Whole = packed(Prefix);
  if (Request.offset >= Whole.size())
    return Chunk;
  Chunk.held_version = Prefix.count();
  Chunk.size = static_cast<std::uint32_t>(Texts_.rbegin()->second.size());
  Chunk.hash = NewestHash_;
  Chunk.packed_size = static_cast<std::uint32_t>(Whole.size());
  auto Bytes = std::string_view(Whole).substr(Request.offset, TextChunkBytes);
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
  if (Size && (*Size == 0 || *Size > MaxTextBytes))
    return std::nullopt;
  if (Wanted == Wanted_ && Now - RequestedAt_ < ChunkTimeout)
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
  if (!fits(Chunk))
    return broken();
  Packed_.append(Chunk.bytes.begin(), Chunk.bytes.end());
  if (Packed_.size() == PackedSize_)
    return finish(Chunk, Texts);
  RequestedAt_ = Now;
  Step Next;
  Next.Request_ = nextRequest();
  return Next;
}

bool DocumentTransfer::fits(const wire::TextPartT &Chunk) const {
  bool AsBefore = Chunk.size == Size_ && Chunk.packed_size == PackedSize_ &&
                  Chunk.hash == Hash_ &&
                  DocumentVersion(Chunk.held_version) == Prefix_;
  bool AsRequested =
      Prefix_ == RequestedPrefix_ || Prefix_ == DocumentVersion();
  return AsBefore && AsRequested && !Chunk.bytes.empty() &&
         Chunk.size <= MaxTextBytes && PackedSize_ <= maxPackedSize(*Size_) &&
         Chunk.bytes.size() <= PackedSize_ - Packed_.size();
}

DocumentTransfer::Step
DocumentTransfer::finish(const wire::TextPartT &LastChunk,
                         const DocumentTexts &Texts) {
  const std::string *Prefix = Texts.find(Prefix_);
  auto Text = unpackText(Packed_, LastChunk.size, Prefix ? *Prefix : "");
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

void DocumentTransfer::drop() {
  Wanted_ = DocumentVersion();
  Packed_ = std::string();
}

} // namespace samphireshunt
