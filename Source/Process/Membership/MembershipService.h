#pragma once
/// \file
/// The socket and the timer of the membership protocol. Runs on the control
/// thread.

#include "Process/Membership/MembershipProtocol.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <memory>

namespace samphireshunt {

class MembershipService {
public:
  using Options = MembershipProtocol::Options;
  using Hooks = MembershipProtocol::Hooks;
  using Udp = boost::asio::ip::udp;

  /// Opens the UDP socket for create().
  /// \returns BadSetting if it can't be opened.
  static Result<Udp::socket> bind(boost::asio::io_context &Control,
                                  const Endpoint &Address);
  static std::unique_ptr<MembershipService>
  create(boost::asio::io_context &Control, Udp::socket Socket,
         MemberTable &Members, Options Settings, Hooks Callbacks);

  void start();
  void stop();
  /// Probes an address whose daemon is still unknown.
  void join(const Endpoint &Address) {
    Protocol_.join(Address, std::chrono::steady_clock::now());
  }
  /// Probes a member outside the round, because something seems wrong with it.
  void check(const VmId &Id) {
    Protocol_.check(Id, std::chrono::steady_clock::now());
  }
  /// Sends the current state to a few members at once, instead of at the next
  /// period.
  void spreadUpdates() {
    Protocol_.spreadUpdates(std::chrono::steady_clock::now());
  }
  const MembershipProtocol &protocol() const { return Protocol_; }

private:
  MembershipService(boost::asio::io_context &Control, Udp::socket Socket,
                    MemberTable &Members, Options Settings, Hooks Callbacks);
  void receiveNext();
  void schedule(TimePoint Next);
  void send(const Endpoint &To, const std::string &Datagram);

  Udp::socket Socket_;
  boost::asio::steady_timer Timer_;
  MembershipProtocol Protocol_;
  std::array<char, 65536> Buffer_;
  Udp::endpoint Sender_;
};

} // namespace samphireshunt
