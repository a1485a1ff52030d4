#include "Process/Membership/MemberTable.h"

#include <algorithm>
#include <bit>
#include <iterator>
#include <span>
#include <tuple>

namespace samphireshunt {

namespace {

/// Each update rides on this many messages for each doubling of the fleet;
/// SWIM's bound for reaching everyone with high probability.
constexpr std::uint32_t TransmissionsPerDoubling = 4;

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
  Target.Member_ = Update;
  Target.Since_ = Now;
  Target.Sent_ = 0;
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

void MemberTable::tick(TimePoint Now) {
  for (auto &[Id, Known] : Members_) {
    bool Due = Now - Known.Since_ >= Options_.SuspectTime_;
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

std::vector<Member> MemberTable::randomMembers(std::size_t Count,
                                               const VmId &Excluded) {
  return sample(Count, [&](const Member &Candidate) {
    return Candidate.Id_ != Excluded &&
           Candidate.Status_ < MemberStatus::Suspect;
  });
}

std::vector<Member> MemberTable::suspects(std::size_t Count) {
  return sample(Count, [](const Member &Candidate) {
    return Candidate.Status_ == MemberStatus::Suspect;
  });
}

std::vector<Member>
MemberTable::sample(std::size_t Count,
                    const std::function<bool(const Member &)> &Wanted) {
  std::vector<Member> Candidates;
  for (const auto &[Id, Known] : Members_)
    if (Wanted(Known.Member_))
      Candidates.push_back(Known.Member_);
  std::vector<Member> Chosen;
  std::ranges::sample(Candidates, std::back_inserter(Chosen),
                      static_cast<std::ptrdiff_t>(Count), Random_);
  return Chosen;
}

std::uint32_t MemberTable::maxTransmissions() const {
  auto Doublings = std::bit_width(Members_.size() + 1);
  return TransmissionsPerDoubling * static_cast<std::uint32_t>(Doublings);
}

std::vector<Member> MemberTable::piggyback(std::size_t Count) {
  std::vector<Entry *> Fresh;
  for (auto &[Id, Known] : Members_)
    if (Known.Sent_ < maxTransmissions())
      Fresh.push_back(&Known);
  std::size_t Taken = std::min(Count, Fresh.size());
  std::ranges::partial_sort(Fresh, Fresh.begin() + Taken, {}, &Entry::Sent_);
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

std::optional<Member> MemberTable::find(const VmId &Id) const {
  auto Found = Members_.find(Id);
  if (Found == Members_.end())
    return std::nullopt;
  return Found->second.Member_;
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
