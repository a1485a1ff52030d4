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
/// A lower level is reported only at this much below its bound, so that use
/// around a bound doesn't fill the log.
constexpr double ReportMargin = 0.1;

/// The part of what all links may hold that one of them may.
constexpr std::size_t LinkParts = 4;

std::size_t indexOf(MemoryOwner Owner) {
  return static_cast<std::size_t>(Owner);
}

} // namespace

std::string_view memoryOwnerName(MemoryOwner Owner) {
  constexpr std::array<std::string_view, MemoryOwners.size()> Names = {
      "request-bodies", "answers", "peer-frames"};
  return Names[indexOf(Owner)];
}

std::string_view memoryLevelName(MemoryLevel Level) {
  constexpr std::array<std::string_view, 3> Names = {"free", "tight", "full"};
  return Names[static_cast<std::size_t>(Level)];
}

MemoryBudget &MemoryBudget::unlimited() {
  static MemoryBudget Unlimited(0);
  return Unlimited;
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

bool MemoryBudget::hasRoomFor(std::size_t Bytes, std::size_t Counted) const {
  if (Limit_ == 0)
    return mayHold(MemoryOwner::RequestBodies, Bytes, Counted);
  std::size_t Others = used() - std::min(used(), Counted);
  // A body beyond the whole budget may be taken in alone.
  return Others == 0 || levelOf(Others + Bytes) == MemoryLevel::Free;
}

bool MemoryBudget::admitsBody(std::size_t Bytes, std::size_t Counted) const {
  return Bytes <= KernelBufferBytes
             ? mayHold(MemoryOwner::RequestBodies, Bytes, Counted)
             : hasRoomFor(Bytes, Counted);
}

bool MemoryBudget::mayHold(MemoryOwner Owner, std::size_t Bytes,
                           std::size_t Counted) const {
  std::size_t Used = used(Owner);
  std::size_t Others = Used - std::min(Used, Counted);
  if (Bytes <= alwaysFreeBytes(Owner))
    return Owner != MemoryOwner::RequestBodies || holdsShortBody(Others, Bytes);
  if (Bytes > WholeLimit_)
    return false;
  // One link leaves room to the others, however many messages wait on it.
  if (Owner == MemoryOwner::PeerFrames && Bytes > WholeLimit_ / LinkParts)
    return false;
  // Answers and bodies are also bounded by the level, frames are not.
  if (Limit_ > 0 && Owner != MemoryOwner::PeerFrames)
    return used() - std::min(used(), Counted) + Bytes <= Limit_;
  std::size_t Room = WholeLimit_ - Bytes;
  return Others <= Room && Bytes <= Room - Others;
}

/// Short bodies have as much room again as large ones may take.
bool MemoryBudget::holdsShortBody(std::size_t Others, std::size_t Bytes) const {
  return Others <= WholeLimit_ || Others - WholeLimit_ + Bytes <= WholeLimit_;
}

/// What one answer may take beyond the others is half of what may be held
/// whole, the size of the largest message that is taken without a limit.
bool MemoryBudget::mayHoldInTurn(std::size_t Bytes, std::size_t Counted) const {
  std::size_t Most = Limit_ > 0 ? Limit_ : WholeLimit_;
  std::size_t Used = Limit_ > 0 ? used() : used(MemoryOwner::Answers);
  std::size_t Others = Used - std::min(Used, Counted);
  return !tooLargeAlone(Bytes) && Others + Bytes <= Most + WholeLimit_ / 2;
}

bool MemoryBudget::tooLargeAlone(std::size_t Bytes) const {
  constexpr std::size_t Shares = 2; // As much as it takes stays free.
  return Bytes > (Limit_ > 0 ? WholeLimit_ : WholeLimit_ / Shares);
}

void MemoryBudget::add(MemoryOwner Owner, std::size_t Bytes) {
  Used_[indexOf(Owner)].fetch_add(Bytes, std::memory_order_relaxed);
  if (Limit_ == 0 || Bytes == 0)
    return;
  reportLevel();
  if (level() == MemoryLevel::Full)
    endSlowest();
}

void MemoryBudget::remove(MemoryOwner Owner, std::size_t Bytes) {
  Used_[indexOf(Owner)].fetch_sub(Bytes, std::memory_order_relaxed);
  if (Limit_ > 0 && Bytes > 0)
    reportLevel();
}

void MemoryBudget::reportLevel() {
  auto Margin =
      static_cast<std::size_t>(static_cast<double>(Limit_) * ReportMargin);
  MemoryLevel Before = Reported_.load(std::memory_order_relaxed);
  std::size_t Used = used();
  MemoryLevel Now = std::clamp(Before, levelOf(Used), levelOf(Used + Margin));
  if (Now != Before && Reported_.compare_exchange_strong(Before, Now))
    LevelChanged_(Now);
}

/// Ends the reader for which most bytes wait. It gives them back only later, so
/// what ended readers still hold counts as free.
void MemoryBudget::endSlowest() {
  EndReader End;
  {
    std::lock_guard Lock(Mutex_);
    std::size_t Used = used();
    std::size_t Most = 0;
    KnownReader *Slowest = nullptr;
    for (auto &[Number, Known] : Readers_) {
      std::size_t Pending = Known.Pending_.load(std::memory_order_relaxed);
      if (!Known.End_) {
        Used -= std::min(Used, Pending);
      } else if (Pending > Most) {
        Most = Pending;
        Slowest = &Known;
      }
    }
    if (Most < KernelBufferBytes || levelOf(Used) != MemoryLevel::Full)
      return;
    End = std::exchange(Slowest->End_, nullptr);
  }
  ++ReadersEnded_;
  End();
}

bool MemoryBudget::takeTurn(const AnswerTurn &Answer) {
  if (level() != MemoryLevel::Full)
    return true;
  return takeTurnNow(Answer);
}

bool MemoryBudget::takeTurnNow(const AnswerTurn &Answer) {
  const AnswerTurn *Current = nullptr;
  return Turn_.compare_exchange_strong(Current, &Answer) || Current == &Answer;
}

void MemoryBudget::endTurn(const AnswerTurn &Answer) {
  const AnswerTurn *Current = &Answer;
  Turn_.compare_exchange_strong(Current, nullptr);
}

std::unique_ptr<MemoryBudget::Reader> MemoryBudget::addReader(EndReader Hook) {
  std::lock_guard Lock(Mutex_);
  std::uint64_t Number = ++NextReader_;
  KnownReader &Known = Readers_[Number];
  Known.End_ = std::move(Hook);
  return std::unique_ptr<Reader>(new Reader(*this, Number, Known));
}

void MemoryBudget::Reader::setPending(std::size_t Bytes) {
  std::size_t Before =
      Known_.Pending_.exchange(Bytes, std::memory_order_relaxed);
  if (Bytes > Before)
    Budget_.add(MemoryOwner::Answers, Bytes - Before);
  else
    Budget_.remove(MemoryOwner::Answers, Before - Bytes);
}

MemoryBudget::Reader::~Reader() {
  setPending(0);
  std::lock_guard Lock(Budget_.Mutex_);
  Budget_.Readers_.erase(Number_);
}

bool MemoryUse::grow(std::size_t Bytes) {
  if (Bytes == Bytes_)
    return true;
  if (Bytes > Bytes_ && !Budget_.mayHold(Owner_, Bytes, Bytes_))
    return false;
  set(Bytes);
  return true;
}

bool AnswerTurn::grow(MemoryUse &Held, std::size_t Bytes) {
  if (Held.grow(Bytes))
    return true;
  if (!Budget_.mayHoldInTurn(Bytes, Held.bytes()) ||
      !Budget_.takeTurnNow(*this))
    return false;
  Held.set(Bytes);
  return true;
}

void MemoryUse::set(std::size_t Bytes) {
  std::size_t Before = std::exchange(Bytes_, Bytes);
  if (Bytes > Before)
    Budget_.add(Owner_, Bytes - Before);
  else
    Budget_.remove(Owner_, Before - Bytes);
}

} // namespace samphireshunt
