#pragma once
/// \file
/// Probes other daemons over UDP and spreads what is piggybacked on the
/// probes: members, versions of documents, floors. Runs on the control thread.

#include "Connection/Http.h"
#include "Connection/PeerMessage.h"
#include "Process/Membership/MemberTable.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace samphireshunt {

/// The lowest tier that a pool still admits, until the given time.
struct PoolFloor {
  ServiceName Service_;
  PoolName Pool_;
  TierIndex Tier_;
  TimePoint Until_;
};

class MembershipService {
public:
  struct Options {
    std::chrono::milliseconds Period_{500};
    std::chrono::milliseconds AckTimeout_{150};
    std::size_t IndirectProbes_ = 2;
    std::size_t PiggybackedMembers_ = 5;
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

  using Udp = boost::asio::ip::udp;

  /// The socket for create(). \returns BadSetting.
  static Result<Udp::socket> bind(boost::asio::io_context &Control,
                                  const Endpoint &Address);
  static std::unique_ptr<MembershipService>
  create(boost::asio::io_context &Control, Udp::socket Socket,
         MemberTable &Members, Options Settings, Hooks Reactions);

  void start();
  void stop();
  /// Probes an address of which nothing is known yet.
  void join(const Endpoint &Address);
  /// Tells a few members at once, instead of at the next period.
  void spreadNews();
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
    Udp::endpoint Requester_;
    std::uint32_t RequesterSequence_ = 0;
  };

  MembershipService(boost::asio::io_context &Control, Udp::socket Socket,
                    MemberTable &Members, Options Settings, Hooks Reactions);
  void receiveNext();
  void receive(std::string_view Bytes);
  void onProbe(const wire::ProbeT &Probe);
  void onAck(const wire::ProbeAckT &Ack);
  template <class Message> void learn(const Message &Heard);
  template <class Message> void fill(Message &Target);
  void notePause(std::chrono::steady_clock::duration Late);
  void onPeriod();
  void schedule();
  void checkPending();
  void probe(const Member &Target);
  std::uint32_t sendProbe(const Udp::endpoint &To, const Member *Target);
  template <class Message> void send(Message Body, const Udp::endpoint &To);

  Udp::socket Socket_;
  MemberTable &Members_;
  Options Options_;
  Hooks Hooks_;
  boost::asio::steady_timer PeriodTimer_;
  TimePoint NextPeriod_;
  std::map<std::uint32_t, PendingProbe> Pending_;
  std::uint32_t NextSequence_ = 1;
  std::array<char, 65536> Space_;
  Udp::endpoint Sender_;
  bool HeardFromPeer_ = false;
  std::uint64_t BytesSent_ = 0;
  std::uint64_t BytesReceived_ = 0;
};

} // namespace samphireshunt
