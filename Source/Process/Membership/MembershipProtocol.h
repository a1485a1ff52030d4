#pragma once
/// \file
/// The failure detection and gossip protocol between daemons: probes, acks,
/// indirect probes, and the updates piggybacked on them. Does no I/O: datagrams
/// and the time are passed as arguments and to hooks; MembershipService.h adds
/// the socket and the timer.

#include "Connection/Http.h"
#include "Connection/PeerMessage.h"
#include "Process/Membership/LocalHealth.h"
#include "Process/Membership/MemberTable.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace samphireshunt {

/// The admission floor of a pool: the lowest tier still admitted, until the
/// given time.
struct PoolFloor {
  ServiceName Service_;
  PoolName Pool_;
  TierIndex Tier_;
  TimePoint Until_;
};

class MembershipProtocol {
public:
  struct Options {
    std::chrono::milliseconds Period_{500};
    std::chrono::milliseconds AckTimeout_{150};
    std::size_t IndirectProbes_ = 2;
    /// The number of members in each message, whether or not there are recent
    /// changes.
    std::size_t PiggybackedMembers_ = 5;
    /// The maximum when there are many recent changes: about as many as fit
    /// into a datagram that is not fragmented.
    std::size_t MaxPiggybacked_ = 10;
    /// The number of members that are informed at once of a new version.
    std::size_t UpdateFanOut_ = 3;
  };
  struct Hooks {
    std::function<std::vector<wire::ServiceVersionT>()> Versions_;
    /// Called with the version of a service's document that a member has.
    std::function<void(const VmId &, const wire::ServiceVersionT &)>
        VersionSeen_;
    std::function<std::vector<PoolFloor>()> Floors_;
    std::function<void(const PoolFloor &)> FloorSeen_;
    /// Returns the digest of all crash records of this daemon.
    std::function<std::uint64_t()> CrashDigest_ = [] { return 0; };
    /// Returns crash records for another daemon. With \p Differs, that daemon's
    /// digest differs from this one's.
    std::function<std::vector<wire::CrashRecordT>(bool Differs)> CrashRecords_ =
        [](bool) { return std::vector<wire::CrashRecordT>(); };
    std::function<void(const wire::CrashRecordT &)> CrashSeen_ =
        [](const wire::CrashRecordT &) {};
    /// Returns the memory in use, in percent of what the process may have; 0 is
    /// unknown.
    std::function<std::uint8_t()> MemoryPercent_ = [] { return 0; };
    /// Called with what a member knows of the end of this daemon's earlier
    /// process.
    std::function<void(const VmId &From, const ProcessEnd &)> PreviousEndSeen_ =
        [](const VmId &, const ProcessEnd &) {};
  };
  using SendHook = std::function<void(const Endpoint &, std::string Datagram)>;

  MembershipProtocol(MemberTable &Members, Options Settings, Hooks Callbacks,
                     SendHook Send);

  /// Performs the actions that are due.
  /// \returns when it must be called again.
  TimePoint step(TimePoint Now);
  /// Reports that the timer for step() fired \p Late after its expiry.
  void onLateTimer(std::chrono::steady_clock::duration Late, TimePoint Now);
  void receive(std::string_view Datagram, const Endpoint &From, TimePoint Now);
  /// Probes an address whose daemon is still unknown.
  void join(const Endpoint &Address, TimePoint Now);
  /// Probes a member outside the round, because something seems wrong with it.
  void check(const VmId &Id, TimePoint Now);
  /// Sends the current state to a few members at once, instead of at the next
  /// period.
  void spreadUpdates(TimePoint Now);
  const Options &options() const { return Options_; }
  /// Returns true once a message of any other daemon was received.
  bool receivedFromPeer() const { return ReceivedFromPeer_; }
  std::uint64_t bytesSent() const { return BytesSent_; }
  std::uint64_t bytesReceived() const { return BytesReceived_; }

private:
  struct PendingProbe {
    VmId Target_;
    TimePoint Started_;
    bool Indirect_ = false;
    /// Set if the probe is made for another daemon.
    Endpoint Requester_;
    std::uint32_t RequesterSequence_ = 0;
  };

  void onPeriod(TimePoint Now);
  void checkPending(TimePoint Now);
  void probe(const Member &Target, TimePoint Now);
  void requestIndirectProbes(std::uint32_t Sequence, const VmId &Target,
                             TimePoint Now);
  std::uint32_t sendProbe(const Endpoint &To, const Member *Target,
                          TimePoint Now);
  void onProbe(const wire::ProbeT &Probe, const Endpoint &From, TimePoint Now);
  void onAck(const wire::ProbeAckT &Ack, TimePoint Now);
  template <class Message>
  void applyGossip(const Message &Received, TimePoint Now);
  template <class Message>
  void addGossip(Message &Target, TimePoint Now,
                 bool CrashDigestDiffers = false);
  template <class Message> void send(Message Body, const Endpoint &To);

  MemberTable &Members_;
  Options Options_;
  Hooks Hooks_;
  SendHook Send_;
  LocalHealth Health_;
  LongestStall Stall_;
  std::uint8_t MemoryPercent_ = 0;
  TimePoint NextPeriod_;
  std::map<std::uint32_t, PendingProbe> Pending_;
  std::uint32_t NextSequence_ = 1;
  bool ReceivedFromPeer_ = false;
  std::uint64_t BytesSent_ = 0;
  std::uint64_t BytesReceived_ = 0;
};

} // namespace samphireshunt
