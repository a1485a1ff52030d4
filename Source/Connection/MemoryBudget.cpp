#include "Connection/MemoryBudget.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace samphireshunt {

namespace {

/// Above this fraction of the limit the level is tight: half of the budget is
/// left for answers that are already on their way.
constexpr double TightFraction = 0.5;
/// Above this one it is full: what is left is for bodies that are being read.
constexpr double FullFraction = 0.9;
/// A reader with fewer bytes than this is not ended: the kernel's buffers of
/// its connection hold as much.
constexpr std::size_t MinEndedBytes = 65536;

std::size_t indexOf(MemoryOwner Owner) {
  return static_cast<std::size_t>(Owner);
}

} // namespace

std::string_view memoryOwnerName(MemoryOwner Owner) {
  return Owner == MemoryOwner::RequestBodies ? "request-bodies" : "answers";
}

std::string_view memoryLevelName(MemoryLevel Level) {
  constexpr std::array<std::string_view, 3> Names = {"free", "tight", "full"};
  return Names[static_cast<std::size_t>(Level)];
}

std::size_t MemoryBudget::used(MemoryOwner Owner) const {
  return Used_[indexOf(Owner)].load(std::memory_order_relaxed);
}

std::size_t MemoryBudget::used() const {
  return std::accumulate(
      MemoryOwners.begin(), MemoryOwners.end(), std::size_t(0),
      [this](std::size_t Sum, MemoryOwner Owner) { return Sum + used(Owner); });
}

MemoryLevel MemoryBudget::levelOf(std::size_t Bytes) const {
  auto Fraction =
      Limit_ == 0 ? 0.0
                  : static_cast<double>(Bytes) / static_cast<double>(Limit_);
  if (Fraction >= FullFraction)
    return MemoryLevel::Full;
  return Fraction >= TightFraction ? MemoryLevel::Tight : MemoryLevel::Free;
}

MemoryLevel MemoryBudget::level() const {
  return Level_.load(std::memory_order_relaxed);
}

bool MemoryBudget::hasRoomFor(std::size_t Bytes) const {
  return levelOf(used() + Bytes) == MemoryLevel::Free;
}

void MemoryBudget::add(MemoryOwner Owner, std::size_t Bytes) {
  Used_[indexOf(Owner)].fetch_add(Bytes, std::memory_order_relaxed);
  if (Limit_ == 0 || Bytes == 0)
    return;
  checkLevel();
  if (level() == MemoryLevel::Full)
    endSlowest();
}

void MemoryBudget::remove(MemoryOwner Owner, std::size_t Bytes) {
  Used_[indexOf(Owner)].fetch_sub(Bytes, std::memory_order_relaxed);
  if (Limit_ > 0 && Bytes > 0)
    checkLevel();
}

void MemoryBudget::checkLevel() {
  MemoryLevel Now = levelOf(used());
  if (Level_.exchange(Now, std::memory_order_relaxed) != Now)
    LevelChanged_(Now);
}

/// Ends the reader for which most bytes wait. Its hook is taken, so that the
/// next call ends another one: the bytes are given back only later.
void MemoryBudget::endSlowest() {
  EndReader End;
  {
    std::lock_guard Lock(Mutex_);
    auto Slowest = std::ranges::max_element(Readers_, {}, [](const auto &Item) {
      return Item.second.End_ ? Item.second.Pending_ : 0;
    });
    if (Slowest == Readers_.end() || !Slowest->second.End_ ||
        Slowest->second.Pending_ < MinEndedBytes)
      return;
    End = std::exchange(Slowest->second.End_, nullptr);
  }
  ++ReadersEnded_;
  End();
}

std::unique_ptr<MemoryBudget::Reader> MemoryBudget::addReader(EndReader Hook) {
  std::lock_guard Lock(Mutex_);
  std::uint64_t Number = ++NextReader_;
  Readers_[Number] = {std::move(Hook), 0};
  return std::unique_ptr<Reader>(new Reader(*this, Number));
}

void MemoryBudget::Reader::setPending(std::size_t Bytes) {
  {
    std::lock_guard Lock(Budget_.Mutex_);
    Budget_.Readers_[Number_].Pending_ = Bytes;
  }
  std::size_t Before = std::exchange(Pending_, Bytes);
  if (Bytes > Before)
    Budget_.add(MemoryOwner::Answers, Bytes - Before);
  else
    Budget_.remove(MemoryOwner::Answers, Before - Bytes);
}

MemoryBudget::Reader::~Reader() {
  Budget_.remove(MemoryOwner::Answers, Pending_);
  std::lock_guard Lock(Budget_.Mutex_);
  Budget_.Readers_.erase(Number_);
}

void MemoryUse::set(std::size_t Bytes) {
  std::size_t Before = std::exchange(Bytes_, Bytes);
  if (Bytes > Before)
    Budget_.add(Owner_, Bytes - Before);
  else
    Budget_.remove(Owner_, Before - Bytes);
}

} // namespace samphireshunt
