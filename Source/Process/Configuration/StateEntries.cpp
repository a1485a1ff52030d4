#include "Process/Configuration/StateEntries.h"

#include "Process/Configuration/TextPacking.h"

#include <limits>

namespace samphireshunt {

namespace {

/// Fewer entries are not worth compressing.
constexpr std::size_t LeastPacked = 32;
/// Larger states are rejected, so that a wrong size can't exhaust the memory.
constexpr std::size_t MostUnpacked = 8 * 1024 * 1024;
/// Key of complete changes in the cache; higher than any number of a log.
constexpr std::uint64_t Complete = std::numeric_limits<std::uint64_t>::max();

void addEntries(const std::vector<KeyValue> &Entries, wire::StateT &Told) {
  for (const KeyValue &Entry : Entries) {
    auto Added = std::make_unique<wire::StateEntryT>();
    Added->key = Entry.Key_;
    Added->value = Entry.Value_;
    Added->revision = Entry.Position_.Revision_.count();
    Added->era = Entry.Position_.Era_.count();
    Added->deleted = Entry.Deleted_;
    Told.entries.push_back(std::move(Added));
  }
}

void readEntries(const wire::StateT &Told, std::vector<KeyValue> &Entries) {
  for (const auto &Entry : Told.entries)
    Entries.push_back({Entry->key,
                       Entry->value,
                       {StoreEra(Entry->era), Revision(Entry->revision)},
                       Entry->deleted});
}

Result<wire::EnvelopeT> unpacked(const wire::StateT &Told) {
  if (Told.packed_from > MostUnpacked)
    return Failure{ResultCode::MalformedRequest, "a state is too long"};
  std::string_view Bytes(reinterpret_cast<const char *>(Told.packed.data()),
                         Told.packed.size());
  auto Inner = unpackText(Bytes, Told.packed_from, "");
  if (!Inner)
    return Failure{ResultCode::MalformedRequest, "a state is not packed well"};
  return decodeMessage(*Inner);
}

} // namespace

void StateEntries::put(const ChangeLog::Changes &Changes, bool MayPack,
                       std::uint64_t After, wire::StateT &Told) {
  if (!MayPack || Changes.Entries_.size() < LeastPacked)
    return addEntries(Changes.Entries_, Told);
  if (std::exchange(Last_, Told.number) != Told.number)
    Packed_.clear();
  auto &Kept = Packed_[Changes.Complete_ ? Complete : After];
  if (!Kept) {
    wire::StateT Inner;
    addEntries(Changes.Entries_, Inner);
    std::string Bytes = encodeMessage(std::move(Inner));
    auto Shorter = packText(Bytes, "");
    if (!Shorter)
      return addEntries(Changes.Entries_, Told);
    Kept = std::make_shared<const Packed>(
        Packed{{Shorter->begin(), Shorter->end()},
               static_cast<std::uint32_t>(Bytes.size())});
  }
  Told.packed = Kept->Bytes_;
  Told.packed_from = Kept->From_;
}

Result<ChangeLog::Changes> changesOf(const wire::StateT &Told) {
  ChangeLog::Changes Changes;
  Changes.Complete_ = Told.complete;
  Changes.Unsure_ = Told.unsure;
  readEntries(Told, Changes.Entries_);
  if (Told.packed.empty())
    return Changes;
  auto Inner = unpacked(Told);
  if (!Inner)
    return Inner.error();
  if (const auto *State = Inner->body.AsState())
    readEntries(*State, Changes.Entries_);
  return Changes;
}

} // namespace samphireshunt
