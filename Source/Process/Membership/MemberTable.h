#pragma once
/// \file
/// The daemons known to this daemon, by the rules of SWIM: probes, suspicion
/// and refutation, with updates piggybacked on the probes. Does no I/O, and the
/// time is an argument.

#include "Common/Ids.h"
#include "Common/TimePoint.h"
#include "Process/Membership/ProcessEnd.h"

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

/// Returns the status as operators see it, e.g. "alive".
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
  /// The bandwidth of its network link in Mbit/s; 0 if unknown.
  std::uint32_t LinkMbps_ = 0;
  /// Where it relays connections to servers, at the host of Address_; 0: none.
  std::uint16_t RelayPort_ = 0;

  bool operator==(const Member &) const = default;
};

class MemberTable {
public:
  struct Options {
    /// The minimum time from suspicion to death, and the time per doubling of
    /// the fleet: the larger the fleet, the longer a suspicion takes to reach
    /// its member, and the refutation to reach all others.
    std::chrono::milliseconds SuspectTime_{1500};
    std::chrono::milliseconds SuspectTimePerDoubling_{500};
    /// How long a dead member counts as possibly partitioned rather than gone,
    /// if the platform does not report it.
    std::chrono::milliseconds DeadRetention_{60000};
    /// How long a change is recent: recent changes are sent before older ones.
    std::chrono::milliseconds RecentChangeTime_{10000};
    /// How long a new process of a member is told how the one before ended.
    std::chrono::milliseconds NewProcessTime_{10000};
    std::uint64_t Seed_ = 1;
  };
  using ChangedHook = std::function<void(const Member &)>;
  using HeardHook = std::function<void()>;
  using VanishedHook = std::function<void(const VmId &, const ProcessEnd &)>;

  MemberTable(Member Self, Options Settings);

  const Member &self() const { return Self_; }
  /// Marks this daemon as leaving, with a higher counter.
  void leave();
  /// Applies an update from another daemon.
  /// \returns true if it changed the table.
  bool merge(const Member &Update, TimePoint Now);
  /// Marks the member as suspect, because it did not answer.
  void suspect(const VmId &Id, TimePoint Now);
  /// Reports a probe or an ack that the process itself sent.
  void heard(const Member &Sender, const ProcessHealth &Health, TimePoint Now);
  /// Reports a message on a link with the member.
  void heardOnLink(const VmId &Id, TimePoint Now);
  /// Reports that a link with the member ended.
  void linkEnded(const VmId &Id, TimePoint Now);
  /// Returns what the process of the member last said of itself.
  ProcessHealth healthOf(const VmId &Id) const;
  /// Returns how the process before the member's present one ended, while that
  /// one is new.
  std::optional<ProcessEnd> previousEnd(const VmId &Id, TimePoint Now) const;
  /// Declares members dead whose suspicion expired, and removes those that died
  /// long ago.
  void tick(TimePoint Now);
  /// Removes the dead members that the platform no longer lists, because their
  /// VMs are gone.
  void forgetDead(const std::function<bool(const VmId &)> &IsListed);

  /// Prolongs all suspicions by \p Duration, for which this process was
  /// suspended: messages that others sent meanwhile, including refutations, are
  /// still unread.
  void extendSuspicions(std::chrono::steady_clock::duration Duration);

  /// Returns the next member to probe. Each round covers every member once, in
  /// random order.
  std::optional<Member> nextProbe();
  /// Returns suspects to probe in addition to the round. Each is probed by a
  /// few daemons of the fleet, chosen anew each time.
  std::vector<Member> suspectsToProbe();
  /// Returns dead members to probe in addition to the round, while others that
  /// were considered dead turn out to be alive.
  std::vector<Member> deadToProbe(TimePoint Now);
  /// Returns up to \p Count random members other than \p Excluded.
  std::vector<Member> randomMembers(std::size_t Count, const VmId &Excluded);
  /// Returns the updates for the next message: recent changes first, and of
  /// these the least often sent.
  std::vector<Member> piggyback(std::size_t Count, TimePoint Now);
  /// Returns the number of members with a recent change that was not sent often
  /// enough.
  std::size_t recentChangeCount(TimePoint Now) const;

  std::optional<Member> find(const VmId &Id) const;
  std::optional<MemberStatus> statusOf(const VmId &Id) const;
  /// Returns every known member except this one.
  std::vector<Member> others() const;
  /// Returns the members that may schedule cells: those that are alive or
  /// suspect, and this daemon unless it is leaving.
  std::vector<Member> keepers() const;
  /// Returns the ratio of live members to all known ones, including dead ones
  /// that are still listed: the fraction of the fleet in this daemon's
  /// partition.
  double liveShare() const;
  /// Sets the hook that is called after each change of another member.
  void onChanged(ChangedHook Hook) { Changed_ = std::move(Hook); }
  /// Sets the hook that is called when a member's process is a new one although
  /// the one before had not announced that it leaves: it was ended, or ended by
  /// itself, and may have written nothing about it.
  void onRestarted(ChangedHook Hook) { Restarted_ = std::move(Hook); }
  /// Sets the hook that is called for each message that another member itself
  /// sent.
  void onHeard(HeardHook Hook) { Heard_ = std::move(Hook); }
  /// Sets the hook that is called when a process that had not announced that it
  /// leaves is found dead or replaced.
  void onVanished(VanishedHook Hook) { Vanished_ = std::move(Hook); }

private:
  struct Entry {
    Member Member_;
    TimePoint Since_;
    std::uint32_t Sent_ = 0;
    /// Whether it was known before with another state.
    bool Changed_ = false;
    /// Whether its process has announced that it leaves.
    bool Left_ = false;
    ProcessTrace Trace_;
    std::optional<ProcessEnd> ReportedEnd_;
    /// The end of the process before, and when it was replaced.
    std::optional<ProcessEnd> Previous_;
    TimePoint Replaced_;
  };
  bool isRecentChange(const Entry &Known, TimePoint Now) const;
  void refute(const Member &Update);
  std::vector<Member>
  sample(std::size_t Count, const std::function<bool(const Member &)> &Matches);
  void change(Entry &Target, const Member &Update, TimePoint Now);
  void noteEnd(Entry &Target, const Member &Update, TimePoint Now);
  std::uint32_t maxTransmissions() const;
  std::chrono::milliseconds suspectTime() const;

  Member Self_;
  std::uint32_t SelfSent_ = 0;
  Options Options_;
  std::map<VmId, Entry> Members_;
  /// The last time at which a member considered dead turned out to be alive.
  std::optional<TimePoint> LastReturn_;
  std::vector<VmId> ProbeRound_;
  pcg32 Random_;
  ChangedHook Changed_;
  ChangedHook Restarted_;
  VanishedHook Vanished_;
  HeardHook Heard_ = [] {};
};

} // namespace samphireshunt
