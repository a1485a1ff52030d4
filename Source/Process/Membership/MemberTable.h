#pragma once
/// \file
/// The daemons that this daemon knows, by the rules of SWIM: probes, suspicion
/// and refutation, with updates piggybacked on the probes. Pure: no sockets,
/// and the time is an argument.

#include "Common/Ids.h"
#include "Common/TimePoint.h"

#include <pcg_random.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace samphireshunt {

/// In rising order of precedence at an equal incarnation and counter.
enum class MemberStatus : std::uint8_t { Alive, Leaving, Suspect, Dead };

/// The status as operators see it, e.g. "alive".
std::string_view memberStatusName(MemberStatus Status);

struct Member {
  VmId Id_;
  Incarnation Incarnation_;
  /// Raised by the member itself to refute a suspicion or to change status.
  std::uint32_t Counter_ = 0;
  MemberStatus Status_ = MemberStatus::Alive;
  std::string Address_;         ///< For peers.
  std::string OperatorAddress_; ///< For operators.
  DataCenterName DataCenter_;
  /// What its network link carries, in Mbit/s; 0 is unknown.
  std::uint32_t LinkMbps_ = 0;

  bool operator==(const Member &) const = default;
};

class MemberTable {
public:
  struct Options {
    /// The least time from a suspicion to a death, and what it is for each
    /// doubling of the fleet: the larger it is, the longer the way of a
    /// suspicion to its member, and of the refutation to all others.
    std::chrono::milliseconds SuspectTime_{1500};
    std::chrono::milliseconds SuspectTimePerDoubling_{500};
    /// How long a dead member counts as one that may be cut off rather than
    /// gone, when the platform does not tell.
    std::chrono::milliseconds DeadRetention_{60000};
    /// A change is news for so long: it goes before what changed earlier.
    std::chrono::milliseconds NewsTime_{10000};
    std::uint64_t Seed_ = 1;
  };
  using ChangedHook = std::function<void(const Member &)>;

  MemberTable(Member Self, Options Settings);

  const Member &self() const { return Self_; }
  /// Marks this daemon as leaving, with a higher counter.
  void leave();
  /// Takes in what another daemon says. \returns true when it was news.
  bool merge(const Member &Update, TimePoint Now);
  /// The member gave no sign of life.
  void suspect(const VmId &Id, TimePoint Now);
  /// Ends suspicions that were not refuted, and forgets the long dead.
  void tick(TimePoint Now);
  /// Forgets a dead member: the platform says that its VM is gone.
  void forgetDead(const std::function<bool(const VmId &)> &IsListed);

  /// This process was not let run for \p Time: what others sent meanwhile lies
  /// unread, refutations among it. Suspicions last longer by as much.
  void extendSuspicions(std::chrono::steady_clock::duration Time);

  /// The next member to probe, each once in a random round.
  std::optional<Member> nextProbe();
  /// Suspects to probe besides the round: each by a few daemons of the fleet,
  /// whoever they are this time.
  std::vector<Member> suspectsToProbe();
  /// Dead members to probe besides the round, while others that were held dead
  /// turn out to live.
  std::vector<Member> deadToProbe(TimePoint Now);
  /// Up to \p Count members other than \p Excluded, at random.
  std::vector<Member> randomMembers(std::size_t Count, const VmId &Excluded);
  /// Updates for the next message: news first, of these the least often sent.
  std::vector<Member> piggyback(std::size_t Count, TimePoint Now);
  /// How many members have news that was not sent often enough.
  std::size_t newsCount(TimePoint Now) const;

  std::optional<Member> find(const VmId &Id) const;
  std::optional<MemberStatus> statusOf(const VmId &Id) const;
  /// Every known member but this one.
  std::vector<Member> others() const;
  /// Members that may keep cells: alive or suspect, and this daemon unless it
  /// is leaving.
  std::vector<Member> keepers() const;
  /// Live members by all known ones (dead ones that are still listed count):
  /// the share of the fleet that this daemon can speak for.
  double liveShare() const;
  /// Called after each change of another member.
  void onChanged(ChangedHook Hook) { Changed_ = std::move(Hook); }

private:
  struct Entry {
    Member Member_;
    TimePoint Since_;
    std::uint32_t Sent_ = 0;
    /// It was known before as something else.
    bool Changed_ = false;
  };
  bool isNews(const Entry &Known, TimePoint Now) const;
  void refute(const Member &Update);
  std::vector<Member> sample(std::size_t Count,
                             const std::function<bool(const Member &)> &Wanted);
  void change(Entry &Target, const Member &Update, TimePoint Now);
  std::uint32_t maxTransmissions() const;
  std::chrono::milliseconds suspectTime() const;

  Member Self_;
  std::uint32_t SelfSent_ = 0;
  Options Options_;
  std::map<VmId, Entry> Members_;
  /// When a member that was held dead was last found to live.
  std::optional<TimePoint> LastReturn_;
  std::vector<VmId> ProbeRound_;
  pcg32 Random_;
  ChangedHook Changed_;
};

} // namespace samphireshunt
