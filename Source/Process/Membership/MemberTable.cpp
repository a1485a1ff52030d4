#include "Process/Membership/MemberTable.h"

#include <algorithm>
#include <bit>
#include <iterator>
#include <random>
#include <span>
#include <tuple>
#include <utility>

namespace samphireshunt {

namespace {

/// Each update is sent in this many messages per doubling of the fleet. All
/// daemons that received it pass it on, so one per doubling from each reaches
/// everyone. Updates that were lost are covered by the random members in
/// messages.
constexpr std::uint32_t TransmissionsPerDoubling = 1;

/// The average number of daemons that probe a suspect in each period.
constexpr double SuspectProbers = 6;
/// Bounds what one daemon sends when many members are suspect at once.
constexpr std::size_t MaxSuspectProbes = 4;

/// Bounds what a daemon sends after a partition to the members it considers
/// dead.
constexpr std::size_t MaxDeadProbes = 6;

auto precedence(const Member &Update) {
  return std::tuple(Update.Incarnation_, Update.Counter_, Update.Status_);
}

} // namespace

std::string_view memberStatusName(MemberStatus Status) {
  switch (Status) {
  case MemberStatus::Alive:
    return "alive";
  case MemberStatus::Leaving:
    return "leaving";
  case MemberStatus::Suspect:
    return "suspect";
  case MemberStatus::Dead:
    return "dead";
  }
  return "dead";
}

MemberTable::MemberTable(Member Self, Options Settings)
    : Self_(std::move(Self)), Options_(Settings), Random_(Settings.Seed_) {}

void MemberTable::leave() {
  Self_.Status_ = MemberStatus::Leaving;
  ++Self_.Counter_;
  SelfSent_ = 0;
}

/// Refutes a claim that this daemon is suspect or dead. A live daemon
/// considered dead would lose its cells and its streams would be cancelled. It
/// learns of the claim by gossip, and its higher counter overrides the claim
/// everywhere.
void MemberTable::refute(const Member &Update) {
  bool SameProcess = Update.Incarnation_ == Self_.Incarnation_;
  if (!SameProcess || Update.Status_ < MemberStatus::Suspect ||
      Update.Counter_ < Self_.Counter_)
    return;
  Self_.Counter_ = Update.Counter_ + 1;
  SelfSent_ = 0;
}

bool MemberTable::merge(const Member &Update, TimePoint Now) {
  if (Update.Id_ == Self_.Id_) {
    refute(Update);
    return false;
  }
  auto Found = Members_.find(Update.Id_);
  if (Found == Members_.end()) {
    // The death of an unknown member is ignored: it would circulate forever
    // after everyone has removed the member.
    if (Update.Status_ == MemberStatus::Dead)
      return false;
    Found = Members_.emplace(Update.Id_, Entry{Update, Now, 0}).first;
    Found->second.Left_ = Update.Status_ == MemberStatus::Leaving;
    if (Changed_)
      Changed_(Found->second.Member_);
    return true;
  }
  if (precedence(Update) <= precedence(Found->second.Member_))
    return false;
  change(Found->second, Update, Now);
  return true;
}

void MemberTable::change(Entry &Target, const Member &Update, TimePoint Now) {
  if (Target.Member_.Status_ == MemberStatus::Dead &&
      Update.Status_ < MemberStatus::Suspect)
    LastReturn_ = Now;
  bool IsNew = Update.Incarnation_ != Target.Member_.Incarnation_;
  if (IsNew && !Target.Left_ && Restarted_)
    Restarted_(Update);
  noteEnd(Target, Update, Now);
  Target.Left_ =
      Update.Status_ == MemberStatus::Leaving || (Target.Left_ && !IsNew);
  Target.Member_ = Update;
  Target.Since_ = Now;
  Target.Sent_ = 0;
  Target.Changed_ = true;
  if (Changed_)
    Changed_(Target.Member_);
}

/// Keeps and reports how a process ended if \p Update says that it is dead or
/// replaced.
void MemberTable::noteEnd(Entry &Target, const Member &Update, TimePoint Now) {
  const Member &Known = Target.Member_;
  bool IsNew = Update.Incarnation_ != Known.Incarnation_;
  if (!IsNew && Update.Status_ != MemberStatus::Dead)
    return;
  ProcessEnd End = Target.Trace_.end(Known.Incarnation_, Target.Left_, Now);
  bool IsNews = std::exchange(Target.ReportedEnd_, End) != End;
  if (!End.Left_ && IsNews && Vanished_)
    Vanished_(Known.Id_, End);
  if (!IsNew)
    return;
  Target.Previous_ = End;
  Target.Replaced_ = Now;
  Target.Trace_ = {};
}

void MemberTable::heard(const Member &Sender, const ProcessHealth &Health,
                        TimePoint Now) {
  auto Found = Members_.find(Sender.Id_);
  if (Found == Members_.end())
    return;
  if (Found->second.Member_.Incarnation_ == Sender.Incarnation_)
    Found->second.Trace_.heard(Health, Now);
  Heard_();
}

void MemberTable::heardOnLink(const VmId &Id, TimePoint Now) {
  auto Found = Members_.find(Id);
  if (Found == Members_.end())
    return;
  Found->second.Trace_.heardOnLink(Now);
  Heard_();
}

void MemberTable::linkEnded(const VmId &Id, TimePoint Now) {
  if (auto Found = Members_.find(Id); Found != Members_.end())
    Found->second.Trace_.linkEnded(Now);
}

ProcessHealth MemberTable::healthOf(const VmId &Id) const {
  auto Found = Members_.find(Id);
  return Found == Members_.end() ? ProcessHealth()
                                 : Found->second.Trace_.health();
}

std::optional<ProcessEnd> MemberTable::previousEnd(const VmId &Id,
                                                   TimePoint Now) const {
  auto Found = Members_.find(Id);
  if (Found == Members_.end() ||
      Now - Found->second.Replaced_ > Options_.NewProcessTime_)
    return std::nullopt;
  return Found->second.Previous_;
}

void MemberTable::suspect(const VmId &Id, TimePoint Now) {
  auto Found = Members_.find(Id);
  if (Found == Members_.end() ||
      Found->second.Member_.Status_ >= MemberStatus::Suspect)
    return;
  Member Update = Found->second.Member_;
  Update.Status_ = MemberStatus::Suspect;
  change(Found->second, Update, Now);
}

std::chrono::milliseconds MemberTable::suspectTime() const {
  auto Doublings = static_cast<int>(std::bit_width(Members_.size()));
  return std::max(Options_.SuspectTime_,
                  Options_.SuspectTimePerDoubling_ * Doublings);
}

void MemberTable::tick(TimePoint Now) {
  auto Time = suspectTime();
  for (auto &[Id, Known] : Members_) {
    bool Due = Now - Known.Since_ >= Time;
    if (Known.Member_.Status_ != MemberStatus::Suspect || !Due)
      continue;
    Member Update = Known.Member_;
    Update.Status_ = MemberStatus::Dead;
    change(Known, Update, Now);
  }
  std::erase_if(Members_, [&](const auto &Item) {
    const Entry &Known = Item.second;
    return Known.Member_.Status_ == MemberStatus::Dead &&
           Now - Known.Since_ > Options_.DeadRetention_;
  });
}

void MemberTable::extendSuspicions(
    std::chrono::steady_clock::duration Duration) {
  for (auto &[Id, Known] : Members_)
    if (Known.Member_.Status_ == MemberStatus::Suspect)
      Known.Since_ += Duration;
}

void MemberTable::forgetDead(
    const std::function<bool(const VmId &)> &IsListed) {
  std::erase_if(Members_, [&](const auto &Item) {
    return Item.second.Member_.Status_ == MemberStatus::Dead &&
           !IsListed(Item.first);
  });
}

std::optional<Member> MemberTable::nextProbe() {
  while (true) {
    if (ProbeRound_.empty()) {
      std::ranges::transform(Members_, std::back_inserter(ProbeRound_),
                             [](const auto &Item) { return Item.first; });
      std::ranges::shuffle(ProbeRound_, Random_);
      if (ProbeRound_.empty())
        return std::nullopt;
    }
    VmId Id = ProbeRound_.back();
    ProbeRound_.pop_back();
    // Dead members are probed too: when a partition heals, nobody else would
    // inform either side that the other one is alive.
    if (auto Found = find(Id))
      return Found;
  }
}

/// When a partition heals, each side considers hundreds of members dead. If one
/// were probed per period, the last would return after minutes, and until then
/// its cells would have two keepers.
std::vector<Member> MemberTable::deadToProbe(TimePoint Now) {
  if (!LastReturn_ || Now - *LastReturn_ > Options_.RecentChangeTime_)
    return {};
  return sample(MaxDeadProbes, [](const Member &Candidate) {
    return Candidate.Status_ == MemberStatus::Dead;
  });
}

std::vector<Member> MemberTable::randomMembers(std::size_t Count,
                                               const VmId &Excluded) {
  return sample(Count, [&](const Member &Candidate) {
    return Candidate.Id_ != Excluded &&
           Candidate.Status_ < MemberStatus::Suspect;
  });
}

/// A suspect learns of the suspicion by gossip only after some periods; the
/// probe informs it at once, and its ack refutes it. If all who know of the
/// suspicion probed it, a VM that was busy for a moment would get hundreds of
/// probes per second, and be overloaded by them until it is declared dead.
std::vector<Member> MemberTable::suspectsToProbe() {
  double Chance = SuspectProbers / static_cast<double>(Members_.size() + 1);
  std::bernoulli_distribution IsChosen(std::min(1.0, Chance));
  return sample(MaxSuspectProbes, [&](const Member &Candidate) {
    return Candidate.Status_ == MemberStatus::Suspect && IsChosen(Random_);
  });
}

std::vector<Member>
MemberTable::sample(std::size_t Count,
                    const std::function<bool(const Member &)> &Matches) {
  // Members are copied only after they are chosen: this runs for each message
  // sent, and a fleet of hundreds has as many candidates.
  std::vector<const Member *> Candidates;
  for (const auto &[Id, Known] : Members_)
    if (Matches(Known.Member_))
      Candidates.push_back(&Known.Member_);
  std::vector<const Member *> Chosen;
  std::ranges::sample(Candidates, std::back_inserter(Chosen),
                      static_cast<std::ptrdiff_t>(Count), Random_);
  std::vector<Member> Copies;
  std::ranges::transform(Chosen, std::back_inserter(Copies),
                         [](const Member *Found) { return *Found; });
  return Copies;
}

std::uint32_t MemberTable::maxTransmissions() const {
  auto Doublings = std::bit_width(Members_.size() + 1);
  return TransmissionsPerDoubling * static_cast<std::uint32_t>(Doublings);
}

std::vector<Member> MemberTable::piggyback(std::size_t Count, TimePoint Now) {
  std::vector<Entry *> Pending;
  for (auto &[Id, Known] : Members_)
    if (Known.Sent_ < maxTransmissions())
      Pending.push_back(&Known);
  // Changes that everyone knows by now, such as all members after the start of
  // the fleet, come last. Queued among hundreds of these, a death would not be
  // sent for minutes.
  auto Order = [&](const Entry *Known) {
    return std::pair(!isRecentChange(*Known, Now), Known->Sent_);
  };
  std::size_t Used = std::min(Count, Pending.size());
  std::ranges::partial_sort(
      Pending, Pending.begin() + static_cast<std::ptrdiff_t>(Used), {}, Order);
  std::vector<Member> Updates;
  for (Entry *Known : std::span(Pending).first(Used)) {
    ++Known->Sent_;
    Updates.push_back(Known->Member_);
  }
  // The remaining space carries random members: a daemon that missed an update,
  // or joined late, still learns of everyone eventually.
  if (Updates.size() < Count)
    std::ranges::copy(randomMembers(Count - Updates.size(), VmId()),
                      std::back_inserter(Updates));
  return Updates;
}

std::size_t MemberTable::recentChangeCount(TimePoint Now) const {
  return static_cast<std::size_t>(
      std::ranges::count_if(Members_, [&](const auto &Item) {
        const Entry &Known = Item.second;
        return Known.Sent_ < maxTransmissions() && isRecentChange(Known, Now);
      }));
}

/// Returns whether the member changed recently. A new member does not count: it
/// announces itself to all members that it finds in the platform's service. If
/// new members counted, those of a fleet's start would be sent before a death
/// for minutes.
bool MemberTable::isRecentChange(const Entry &Known, TimePoint Now) const {
  return Known.Changed_ && Now - Known.Since_ <= Options_.RecentChangeTime_;
}

std::optional<Member> MemberTable::find(const VmId &Id) const {
  auto Found = Members_.find(Id);
  if (Found == Members_.end())
    return std::nullopt;
  return Found->second.Member_;
}

std::optional<MemberStatus> MemberTable::statusOf(const VmId &Id) const {
  auto Found = Members_.find(Id);
  if (Found == Members_.end())
    return std::nullopt;
  return Found->second.Member_.Status_;
}

std::vector<Member> MemberTable::others() const {
  std::vector<Member> All;
  for (const auto &[Id, Known] : Members_)
    All.push_back(Known.Member_);
  return All;
}

std::vector<Member> MemberTable::keepers() const {
  std::vector<Member> Candidates;
  if (Self_.Status_ == MemberStatus::Alive)
    Candidates.push_back(Self_);
  for (const auto &[Id, Known] : Members_)
    if (Known.Member_.Status_ == MemberStatus::Alive ||
        Known.Member_.Status_ == MemberStatus::Suspect)
      Candidates.push_back(Known.Member_);
  return Candidates;
}

double MemberTable::liveShare() const {
  auto Dead = std::ranges::count_if(Members_, [](const auto &Item) {
    return Item.second.Member_.Status_ == MemberStatus::Dead;
  });
  double Known = static_cast<double>(Members_.size() + 1);
  return (Known - static_cast<double>(Dead)) / Known;
}

} // namespace samphireshunt
