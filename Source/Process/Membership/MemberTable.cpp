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

/// Each update rides on this many messages for each doubling of the fleet. All
/// daemons that have heard of it pass it on, so that one doubling each reaches
/// everyone; what was lost comes with the members at random.
constexpr std::uint32_t TransmissionsPerDoubling = 1;

/// Daemons that probe a suspect in each period, on average.
constexpr double SuspectProbers = 6;
/// Bounds what one daemon sends when many are suspect at once.
constexpr std::size_t MostSuspectProbes = 4;

/// Bounds what a daemon sends after a partition to all whom it holds dead.
constexpr std::size_t MostDeadProbes = 6;

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

/// A live daemon that others take for suspect or dead would lose its cells
/// and get its streams cancelled. It learns of that from their gossip, and a
/// higher counter overrides the claim wherever it has spread.
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
    // News of the death of an unknown member would only be passed on in
    // circles after everyone has forgotten it.
    if (Update.Status_ == MemberStatus::Dead)
      return false;
    Found = Members_.emplace(Update.Id_, Entry{Update, Now, 0}).first;
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
  Target.Member_ = Update;
  Target.Since_ = Now;
  Target.Sent_ = 0;
  Target.Changed_ = true;
  if (Changed_)
    Changed_(Target.Member_);
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

void MemberTable::extendSuspicions(std::chrono::steady_clock::duration Time) {
  for (auto &[Id, Known] : Members_)
    if (Known.Member_.Status_ == MemberStatus::Suspect)
      Known.Since_ += Time;
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
    // The dead are probed too: when a partition heals, nobody else would
    // tell either side that the other one lives.
    if (auto Found = find(Id))
      return Found;
  }
}

/// A partition that heals leaves hundreds whom each side holds dead. Probed one
/// each period, the last would be back after minutes, and until then its cells
/// have two keepers.
std::vector<Member> MemberTable::deadToProbe(TimePoint Now) {
  if (!LastReturn_ || Now - *LastReturn_ > Options_.NewsTime_)
    return {};
  return sample(MostDeadProbes, [](const Member &Candidate) {
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

/// A suspect hears of it by gossip only after some periods; the probe tells it
/// at once, and its ack refutes. Probed by all who have heard of it, a VM that
/// was busy for a moment would get hundreds of probes a second, and be busy
/// with them until it is taken for dead.
std::vector<Member> MemberTable::suspectsToProbe() {
  double Chance = SuspectProbers / static_cast<double>(Members_.size() + 1);
  std::bernoulli_distribution IsChosen(std::min(1.0, Chance));
  return sample(MostSuspectProbes, [&](const Member &Candidate) {
    return Candidate.Status_ == MemberStatus::Suspect && IsChosen(Random_);
  });
}

std::vector<Member>
MemberTable::sample(std::size_t Count,
                    const std::function<bool(const Member &)> &Wanted) {
  // Members are copied only once they are chosen: this is done for each message
  // that is sent, and a fleet of hundreds has as many candidates.
  std::vector<const Member *> Candidates;
  for (const auto &[Id, Known] : Members_)
    if (Wanted(Known.Member_))
      Candidates.push_back(&Known.Member_);
  std::vector<const Member *> Chosen;
  std::ranges::sample(Candidates, std::back_inserter(Chosen),
                      static_cast<std::ptrdiff_t>(Count), Random_);
  std::vector<Member> Copies;
  std::ranges::transform(Chosen, std::back_inserter(Copies),
                         [](const Member *Each) { return *Each; });
  return Copies;
}

std::uint32_t MemberTable::maxTransmissions() const {
  auto Doublings = std::bit_width(Members_.size() + 1);
  return TransmissionsPerDoubling * static_cast<std::uint32_t>(Doublings);
}

std::vector<Member> MemberTable::piggyback(std::size_t Count, TimePoint Now) {
  std::vector<Entry *> Fresh;
  for (auto &[Id, Known] : Members_)
    if (Known.Sent_ < maxTransmissions())
      Fresh.push_back(&Known);
  // What all have heard by now, as of all members after the fleet's start,
  // comes last. Among hundreds of these a death would wait for minutes for its
  // turn.
  auto Order = [&](const Entry *Known) {
    return std::pair(!isNews(*Known, Now), Known->Sent_);
  };
  std::size_t Taken = std::min(Count, Fresh.size());
  std::ranges::partial_sort(
      Fresh, Fresh.begin() + static_cast<std::ptrdiff_t>(Taken), {}, Order);
  std::vector<Member> Updates;
  for (Entry *Known : std::span(Fresh).first(Taken)) {
    ++Known->Sent_;
    Updates.push_back(Known->Member_);
  }
  // Room that is left carries members at random: a daemon that missed an
  // update, or joined late, still learns of everyone in time.
  if (Updates.size() < Count)
    std::ranges::copy(randomMembers(Count - Updates.size(), VmId()),
                      std::back_inserter(Updates));
  return Updates;
}

std::size_t MemberTable::newsCount(TimePoint Now) const {
  return static_cast<std::size_t>(
      std::ranges::count_if(Members_, [&](const auto &Item) {
        const Entry &Known = Item.second;
        return Known.Sent_ < maxTransmissions() && isNews(Known, Now);
      }));
}

/// A member that was not known before tells of itself to all that it finds in
/// the platform's service: passed on, those of a fleet's start would stand
/// before a death for minutes.
bool MemberTable::isNews(const Entry &Known, TimePoint Now) const {
  return Known.Changed_ && Now - Known.Since_ <= Options_.NewsTime_;
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
  std::vector<Member> Able;
  if (Self_.Status_ == MemberStatus::Alive)
    Able.push_back(Self_);
  for (const auto &[Id, Known] : Members_)
    if (Known.Member_.Status_ == MemberStatus::Alive ||
        Known.Member_.Status_ == MemberStatus::Suspect)
      Able.push_back(Known.Member_);
  return Able;
}

double MemberTable::liveShare() const {
  auto Dead = std::ranges::count_if(Members_, [](const auto &Item) {
    return Item.second.Member_.Status_ == MemberStatus::Dead;
  });
  double Known = static_cast<double>(Members_.size() + 1);
  return (Known - static_cast<double>(Dead)) / Known;
}

} // namespace samphireshunt
