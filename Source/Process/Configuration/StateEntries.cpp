#include "Process/Configuration/StateEntries.h"

#include "Process/Configuration/TextPacking.h"

#include <fmt/format.h>

#include <limits>

namespace samphireshunt {

namespace {

/// Fewer entries are not worth compressing.
constexpr std::size_t MinPackedEntries = 32;
/// Key of complete changes in the cache; higher than any number of a log.
constexpr std::uint64_t CompleteChanges =
    std::numeric_limits<std::uint64_t>::max();

void addEntries(const std::vector<KeyValue> &Entries, wire::StateT &State) {
  for (const KeyValue &Entry : Entries) {
    auto Added = std::make_unique<wire::StateEntryT>();
    Added->key = Entry.Key_;
    Added->value = Entry.Value_;
    Added->revision = Entry.Position_.Revision_.count();
    Added->era = Entry.Position_.Era_.count();
    Added->deleted = Entry.Deleted_;
    State.entries.push_back(std::move(Added));
  }
}

void readEntries(const wire::StateT &State, std::vector<KeyValue> &Entries) {
  for (const auto &Entry : State.entries)
    Entries.push_back({Entry->key,
                       Entry->value,
                       {StoreEra(Entry->era), Revision(Entry->revision)},
                       Entry->deleted});
}

Result<wire::EnvelopeT> unpacked(const wire::StateT &State,
                                 std::size_t MaxBytes) {
  // A wrong size must not exhaust the memory.
  if (State.packed_from > MaxBytes)
    return Failure{ResultCode::MalformedRequest,
                   fmt::format("a state of {} bytes is over the bound of {}",
                               State.packed_from, MaxBytes)};
  std::string_view Bytes(reinterpret_cast<const char *>(State.packed.data()),
                         State.packed.size());
  auto Inner = unpackText(Bytes, State.packed_from, "");
  if (!Inner)
    return Failure{ResultCode::MalformedRequest,
                   "a state can't be decompressed"};
  return decodeMessage(*Inner);
}

} // namespace

void StateEntries::put(const ChangeLog::Changes &Changes, bool MayPack,
                       std::uint64_t After, wire::StateT &State) {
  if (!MayPack || Changes.Entries_.size() < MinPackedEntries)
    return addEntries(Changes.Entries_, State);
  if (std::exchange(Last_, State.number) != State.number)
    Packed_.clear();
  auto &Cached = Packed_[Changes.Complete_ ? CompleteChanges : After];
  if (!Cached) {
    wire::StateT Inner;
    addEntries(Changes.Entries_, Inner);
    std::string Bytes = encodeMessage(std::move(Inner));
    auto Compressed = packText(Bytes, "");
    if (!Compressed)
      return addEntries(Changes.Entries_, State);
    Cached = std::make_shared<const Packed>(
        Packed{{Compressed->begin(), Compressed->end()},
               static_cast<std::uint32_t>(Bytes.size())});
  }
  State.packed = Cached->Bytes_;
  State.packed_from = Cached->UnpackedSize_;
}

Result<ChangeLog::Changes> changesOf(const wire::StateT &State,
                                     std::size_t MaxBytes) {
  ChangeLog::Changes Changes;
  Changes.Complete_ = State.complete;
  Changes.Unverified_ = State.unsure;
  readEntries(State, Changes.Entries_);
  if (State.packed.empty())
    return Changes;
  auto Inner = unpacked(State, MaxBytes);
  if (!Inner)
    return Inner.error();
  if (const auto *Unpacked = Inner->body.AsState())
    readEntries(*Unpacked, Changes.Entries_);
  return Changes;
}

} // namespace samphireshunt
