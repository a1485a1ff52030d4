#include "Process/Scheduling/ServerModel.h"

#include <algorithm>
#include <cmath>

namespace samphireshunt {

namespace {

using std::chrono::nanoseconds;

/// Weight of a new sample in the running averages.
constexpr double NewSampleWeight = 0.2;

/// An engine gets no further prompt while it has this much to read. The prompt
/// would wait there behind others regardless of its tier, and delay the events
/// of all requests that run there.
constexpr std::chrono::milliseconds MaxUnreadTime{120};

/// The longest time for which an engine that is still there is avoided.
constexpr std::chrono::seconds ReplacedTime{2};

/// Prompts with fewer shared blocks than this evict nothing worth keeping.
constexpr std::size_t MinLongPrefixBlocks = 8;
/// How often evicted prompt work is expected to be repeated.
constexpr int EvictedWorkFactor = 4;

double blend(double Old, double Sample) {
  return Old == 0 ? Sample : Old + NewSampleWeight * (Sample - Old);
}

nanoseconds blend(nanoseconds Old, nanoseconds Sample) {
  return nanoseconds(static_cast<std::int64_t>(blend(
      static_cast<double>(Old.count()), static_cast<double>(Sample.count()))));
}

} // namespace

ServerModel::ServerModel(ServerCapacity Capacity)
    : Capacity_(Capacity), Limit_(Capacity.MaxInFlight_) {
  if (Capacity.CacheTokens_.count() > 0)
    Prefixes_ = PrefixIndex(
        static_cast<std::size_t>(Capacity.CacheTokens_.count() / BlockTokens));
}

/// Resets the state that belonged to the previous process of the engine. If it
/// were retained, slots would seem occupied by requests that ended with that
/// process, and prompts would be sent to a cache that is empty. The measured
/// speed is kept.
void ServerModel::restarted() {
  Limit_ = Capacity_.MaxInFlight_;
  Reachable_ = true;
  Health_ = ServerHealth();
  Rate_ = ServerRate();
  Rejections_ = RejectionLimit();
  WorkTime_ = WorkTime();
  RestUntil_.clear();
  LeftOut_ = OnTrial_ = SaysLeaving_ = false;
  ReplacedUntil_.reset();
  InFlight_.clear();
  Reported_ = LoadReport();
  Prefilling_.clear();
  InProgress_.clear();
  PendingPrefill_ = Tokens(0);
  Prefixes_.clear();
}

void ServerModel::configure(const ServerCapacity &Capacity) {
  bool Known = Capacity_.Incarnation_.count() > 0;
  if (Known && Capacity.Incarnation_ > Capacity_.Incarnation_)
    restarted();
  if (Capacity.MaxInFlight_ != Capacity_.MaxInFlight_)
    Limit_ = Capacity.MaxInFlight_;
  Capacity_ = Capacity;
}

void ServerModel::adaptLimit(const LoadReport &Report) {
  // The report is out of date: requests that it counts as waiting may have been
  // granted before the limit was lowered. One slot more than the running
  // requests is therefore left.
  if (Report.Waiting_ > 1)
    Limit_ = std::min(Limit_, std::max(1U, Report.Running_ + 1));
  else if (Report.Waiting_ == 0 && inFlight() >= Limit_)
    Limit_ = std::min(Limit_ + 1, Capacity_.MaxInFlight_);
}

bool ServerModel::hasRoom(double Share) const {
  // A keeper that is responsible for a fraction of the fleet uses that fraction
  // of the limit, but at least one slot. Keepers on both sides of a partition
  // may then together exceed the limit by at most one each.
  // A brittle server may have no room for requests beyond its slots.
  std::uint32_t Usual = Rejections_.named() ? slots() : Limit_;
  if (SlotsAside_ > 0)
    Usual = slots() - std::min(slots(), SlotsAside_);
  double Limit = OnTrial_ || replaced() ? 1.0 : std::floor(Usual * Share);
  return mayContinue() && Rate_.allowsOne() && Rejections_.allowsOne() &&
         inFlight() < std::max(1.0, Limit) &&
         pendingReadingTime() < MaxUnreadTime;
}

void ServerModel::markReplaced(TimePoint Now) {
  advance(Now);
  ReplacedUntil_ = Now + ReplacedTime;
}

void ServerModel::rest(const VmId &Ingress, TimePoint Until) {
  TimePoint &Known = RestUntil_[Ingress];
  Known = std::max(Known, Until);
}

TimePoint ServerModel::restUntil(const VmId &Ingress) const {
  auto Found = RestUntil_.find(Ingress);
  return Found == RestUntil_.end() ? TimePoint() : Found->second;
}

void ServerModel::start(const RequestId &Id, Tokens Prompt,
                        std::span<const std::uint64_t> Prefix) {
  PrefillWork Added;
  Added.HadSlot_ = inFlight() < slots();
  InFlight_.insert(Id);
  Added.Own_ = uncached(Prompt, Prefix);
  PendingPrefill_ += Added.Own_;
  Added.WithPending_ = PendingPrefill_;
  Added.Prefix_.assign(Prefix.begin(), Prefix.end());
  for (std::uint64_t Block : Prefix)
    ++InProgress_[Block];
  Prefilling_[Id] = std::move(Added);
}

std::uint32_t ServerModel::slots() const {
  return std::max(1U, Limit_ - std::min(Limit_, Capacity_.MaxQueuedInEngine_));
}

nanoseconds ServerModel::waitForSlot() const {
  if (inFlight() < slots())
    return nanoseconds(0);
  return Duration_ / slots() * (inFlight() - slots() + 1);
}

void ServerModel::firstToken(const RequestId &Id,
                             const FirstTokenSample &Sample,
                             EngineSpeed &Typical) {
  auto Found = Prefilling_.find(Id);
  if (Found == Prefilling_.end())
    return;
  const PrefillWork &Done = Found->second;
  if (Done.HadSlot_) {
    Speed_.firstToken(Done.WithPending_, Sample.Delay_);
    Typical.firstToken(Done.WithPending_, Sample.Delay_);
  }
  Prefixes_.insert(Done.Prefix_);
  endPrefill(Id);
}

void ServerModel::endPrefill(const RequestId &Id) {
  auto Node = Prefilling_.extract(Id);
  if (!Node)
    return;
  PendingPrefill_ -= Node.mapped().Own_;
  for (std::uint64_t Block : Node.mapped().Prefix_)
    if (auto Count = InProgress_.find(Block); --Count->second == 0)
      InProgress_.erase(Count);
}

void ServerModel::end(const RequestId &Id) {
  InFlight_.erase(Id);
  endPrefill(Id);
}

PrefixState
ServerModel::prefixState(std::span<const std::uint64_t> Prefix) const {
  if (Prefix.size() < MinLongPrefixBlocks)
    return PrefixState::NotCached;
  std::size_t Half = Prefix.size() / 2;
  if (Prefixes_.cachedBlocks(Prefix) >= Half)
    return PrefixState::Cached;
  bool InProgress =
      std::ranges::all_of(Prefix.first(Half), [this](std::uint64_t Block) {
        return InProgress_.contains(Block) || Prefixes_.contains(Block);
      });
  return InProgress ? PrefixState::InProgress : PrefixState::NotCached;
}

void ServerModel::recordServed(const ServedSample &Sample,
                               EngineSpeed &Typical) {
  if (!Sample.Complete_)
    return;
  Duration_ = blend(Duration_, nanoseconds(Sample.Duration_));
  auto Streaming = nanoseconds(Sample.Duration_ - Sample.FirstToken_);
  Tokens AfterFirst = Sample.Generated_ - Sample.FirstEventTokens_;
  Speed_.stream(AfterFirst, Streaming);
  Typical.stream(AfterFirst, Streaming);
}

Tokens ServerModel::uncached(Tokens Prompt,
                             std::span<const std::uint64_t> Prefix) const {
  auto Blocks = static_cast<std::int64_t>(Prefixes_.cachedBlocks(Prefix));
  return Tokens(
      std::max<std::int64_t>(0, Prompt.count() - Blocks * BlockTokens));
}

nanoseconds
ServerModel::evictionCost(Tokens Prompt,
                          std::span<const std::uint64_t> Prefix) const {
  if (Prefix.size() < MinLongPrefixBlocks || !Prefixes_.full())
    return nanoseconds(0);
  return EvictedWorkFactor * Speed_.readingTime(uncached(Prompt, Prefix));
}

nanoseconds
ServerModel::expectedFirstToken(Tokens Prompt,
                                std::span<const std::uint64_t> Prefix) const {
  Tokens Unread = PendingPrefill_ + uncached(Prompt, Prefix);
  return waitForSlot() + Speed_.timeToFirstToken(Unread);
}

nanoseconds
ServerModel::idleService(Tokens Prompt, Tokens Answer,
                         std::span<const std::uint64_t> Prefix) const {
  if (!Speed_.known())
    return nanoseconds(0);
  return Speed_.timeToFirstToken(uncached(Prompt, Prefix)) +
         Speed_.timeBetweenTokens() * Answer.count();
}

} // namespace samphireshunt
