#pragma once
/// \file
/// Simulates the membership protocol of many daemons in virtual time, on a
/// network with delays, losses and partitions, and on slow VMs. The simulation
/// is deterministic for a given seed.

#include "Process/Keeping/CrashTracker.h"
#include "Process/Membership/MembershipProtocol.h"

#include <pcg_random.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <tuple>
#include <vector>

namespace samphireshunt::tests {

class SimulatedFleet {
public:
  struct Options {
    std::uint64_t Seed_ = 1;
    /// The percentage of datagrams that are lost.
    double LossPercent_ = 0;
    std::chrono::microseconds Latency_{500};
    /// The processor time per message on a whole core.
    std::chrono::microseconds MessageCost_{100};
    /// The fraction of a core that each VM has.
    double CoreShare_ = 0.12;
  };

  /// Creates \p Count daemons that all know each other.
  SimulatedFleet(std::size_t Count, Options Settings);

  void runFor(std::chrono::milliseconds Duration);
  /// Runs until \p Done, for \p Limit at most.
  /// \returns the elapsed time.
  std::chrono::milliseconds runUntil(const std::function<bool()> &Done,
                                     std::chrono::milliseconds Limit);

  /// Ends the process without notice to others.
  void kill(std::size_t Index);
  /// Starts a new process on the VM, which learns of all others at once, as
  /// from the platform's service.
  void restart(std::size_t Index);
  /// Slows the VM down by the factor from now on.
  void slowDown(std::size_t Index, double Factor) {
    Nodes_[Index]->Slowness_ = Factor;
  }
  /// Keeps the VM busy with other work for this long.
  void keepBusy(std::size_t Index, std::chrono::milliseconds Duration);
  /// Moves the daemon to a side of a partition. Daemons of different sides
  /// can't reach each other; all start on side 0.
  void setSide(std::size_t Index, int Side) { Nodes_[Index]->Side_ = Side; }
  /// Makes one daemon suspect another, as if it had not answered.
  void makeSuspect(std::size_t Accuser, std::size_t Target);

  std::size_t size() const { return Nodes_.size(); }
  bool alive(std::size_t Index) const { return Nodes_[Index]->Alive_; }
  MemberTable &members(std::size_t Index) { return *Nodes_[Index]->Members_; }
  /// The requests that crash servers, as the daemon knows them.
  CrashTracker &crashes(std::size_t Index) { return *Nodes_[Index]->Crashes_; }
  /// Returns the number of live daemons that refuse the request.
  std::size_t refusing(const RequestFingerprint &Request) const;
  /// Returns the number of live daemons whose view of \p Target is \p Status.
  std::size_t viewsOf(std::size_t Target, MemberStatus Status) const;
  /// Returns the number of pairs of live daemons of which one does not know the
  /// other's process, or considers it dead.
  std::size_t falseViews() const;
  /// Return how often a live daemon changed its view of another live one to
  /// suspect, or to dead.
  std::uint64_t falseSuspicions() const { return FalseSuspicions_; }
  std::uint64_t falseDeaths() const { return FalseDeaths_; }
  /// Returns the number of datagrams that reached the daemon.
  std::uint64_t received(std::size_t Index) const {
    return Nodes_[Index]->Received_;
  }
  std::uint64_t bytesSent() const { return BytesSent_; }
  /// What the daemon says of its memory from its next period on.
  void setMemoryPercent(std::size_t Index, std::uint8_t Percent) {
    Nodes_[Index]->MemoryPercent_ = Percent;
  }
  /// What the daemon's process has learned of the end of the one before.
  const PreviousProcess &previous(std::size_t Index) const {
    return *Nodes_[Index]->Previous_;
  }
  static VmId nameOf(std::size_t Index);

private:
  struct Node {
    Member Self_;
    std::unique_ptr<MemberTable> Members_;
    std::unique_ptr<MembershipProtocol> Protocol_;
    std::unique_ptr<CrashTracker> Crashes_;
    std::unique_ptr<PreviousProcess> Previous_;
    std::uint8_t MemoryPercent_ = 0;
    bool Alive_ = true;
    int Side_ = 0;
    double Slowness_ = 1;
    TimePoint BusyUntil_;
    std::uint64_t Received_ = 0;
    /// Raised by a restart, which invalidates the events of the earlier
    /// process.
    std::uint64_t Process_ = 0;
  };
  struct Event {
    TimePoint Due_;
    std::uint64_t Number_;
    std::function<void()> Run_;
    bool operator<(const Event &Other) const {
      return std::tie(Other.Due_, Other.Number_) < std::tie(Due_, Number_);
    }
  };

  void start(std::size_t Index);
  void plan(TimePoint Due, std::function<void()> Handler);
  /// Runs \p Work once the VM is free and has spent \p Cost on it.
  void runOnVm(std::size_t Index, std::chrono::microseconds Cost,
               std::function<void()> Work);
  void planStep(std::size_t Index, TimePoint Due);
  void deliver(std::size_t From, const Endpoint &To, std::string Datagram);
  void countChange(std::size_t Viewer, const Member &Changed);
  std::size_t indexOf(const VmId &Id) const;

  Options Options_;
  pcg32 Random_;
  TimePoint Now_{std::chrono::seconds(1000)};
  std::uint64_t NextNumber_ = 0;
  std::priority_queue<Event> Events_;
  std::vector<std::unique_ptr<Node>> Nodes_;
  std::uint64_t FalseSuspicions_ = 0;
  std::uint64_t FalseDeaths_ = 0;
  std::uint64_t BytesSent_ = 0;
};

} // namespace samphireshunt::tests
