#pragma once
/// \file
/// What daemons tell each other of who lives: probes, acks, probes by way of
/// others, and news that ride on them. Pure: datagrams and the time come and go
/// as arguments and hooks; MembershipService.h brings the socket and the timer.

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

/// The lowest tier that a pool still admits, until the given time.
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
    /// Members in each message, with news or without.
    std::size_t PiggybackedMembers_ = 5;
    /// The most when there is much news: about what a datagram carries that is
    /// not cut into parts.
    std::size_t MostPiggybacked_ = 10;
    /// How many members are told at once of a new version.
    std::size_t NewsFanOut_ = 3;
  };
  struct Hooks {
    std::function<std::vector<wire::ServiceVersionT>()> Versions_;
    /// A member has this version of a service's document.
    std::function<void(const VmId &, const wire::ServiceVersionT &)>
        VersionSeen_;
    std::function<std::vector<PoolFloor>()> Floors_;
    std::function<void(const PoolFloor &)> FloorSeen_;
  };
  using SendHook = std::function<void(const Endpoint &, std::string Datagram)>;

  MembershipProtocol(MemberTable &Members, Options Settings, Hooks Reactions,
                     SendHook Send);

  /// Does what is due. \returns when it wants to be called again.
  TimePoint step(TimePoint Now);
  /// The timer for step() came so much later than it was due.
  void wokeLate(std::chrono::steady_clock::duration Late);
  void receive(std::string_view Datagram, const Endpoint &From, TimePoint Now);
  /// Probes an address of which nothing is known yet.
  void join(const Endpoint &Address, TimePoint Now);
  /// Probes a member out of its turn: something seems wrong with it.
  void check(const VmId &Id, TimePoint Now);
  /// Tells a few members at once, instead of at the next period.
  void spreadNews(TimePoint Now);
  const Options &options() const { return Options_; }
  /// True once any other daemon has answered.
  bool heardFromPeer() const { return HeardFromPeer_; }
  std::uint64_t bytesSent() const { return BytesSent_; }
  std::uint64_t bytesReceived() const { return BytesReceived_; }

private:
  struct PendingProbe {
    VmId Target_;
    TimePoint Started_;
    bool Indirect_ = false;
    /// Set when the probe is made for a third daemon.
    Endpoint Requester_;
    std::uint32_t RequesterSequence_ = 0;
  };

  void onPeriod(TimePoint Now);
  void checkPending(TimePoint Now);
  void probe(const Member &Target, TimePoint Now);
  void askHelpers(std::uint32_t Sequence, const VmId &Target, TimePoint Now);
  std::uint32_t sendProbe(const Endpoint &To, const Member *Target,
                          TimePoint Now);
  void onProbe(const wire::ProbeT &Probe, const Endpoint &From, TimePoint Now);
  void onAck(const wire::ProbeAckT &Ack, TimePoint Now);
  template <class Message> void learn(const Message &Heard, TimePoint Now);
  template <class Message> void fill(Message &Target, TimePoint Now);
  template <class Message> void send(Message Body, const Endpoint &To);

  MemberTable &Members_;
  Options Options_;
  Hooks Hooks_;
  SendHook Send_;
  LocalHealth Health_;
  TimePoint NextPeriod_;
  std::map<std::uint32_t, PendingProbe> Pending_;
  std::uint32_t NextSequence_ = 1;
  bool HeardFromPeer_ = false;
  std::uint64_t BytesSent_ = 0;
  std::uint64_t BytesReceived_ = 0;
};

} // namespace samphireshunt
