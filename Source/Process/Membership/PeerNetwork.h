#pragma once
/// \file
/// The TCP links of a daemon to others: one that it opened to each daemon that
/// it sends requests to, and those that others opened. Runs on the control
/// thread.

#include "Connection/AcceptLoop.h"
#include "Connection/FrameChannel.h"
#include "Process/Membership/MemberTable.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace samphireshunt {

class PeerNetwork {
public:
  struct Options {
    /// Far longer than any round trip between two VMs: a daemon that does not
    /// accept within this time is down or partitioned.
    std::chrono::milliseconds ConnectTimeout_{500};
  };
  struct Hooks {
    /// Called with a message on a link that \p From opened.
    std::function<void(const VmId &From, wire::EnvelopeT)> RequestReceived_;
    /// Called with a message on a link that this daemon opened to \p From.
    std::function<void(const VmId &From, wire::EnvelopeT)> ReplyReceived_;
    /// Called when a link to \p To could not be opened, or broke.
    std::function<void(const VmId &To)> LinkDown_;
    /// Called when \p From opened a link, which replaces its earlier ones.
    std::function<void(const VmId &From)> PeerConnected_;
    /// Called when the link that \p From had opened broke.
    std::function<void(const VmId &From)> PeerDisconnected_;
    /// Returns true while an answer of \p To is awaited.
    std::function<bool(const VmId &To)> Awaiting_;
    std::function<std::optional<std::string>(const VmId &)> AddressOf_;
  };

  static Result<std::unique_ptr<PeerNetwork>>
  create(boost::asio::io_context &Control, Endpoint Address, VmId Self,
         Options Settings, Hooks Callbacks);

  Endpoint address() const { return Accepting_->address(); }
  /// Sends on the link to \p To, and opens it if there is none.
  void send(const VmId &To, std::string Message);
  /// Sends on the link that \p To opened; the message is lost if there is none.
  void reply(const VmId &To, std::string Message);
  void stop();
  std::uint64_t bytesSent() const;

private:
  struct Link {
    std::shared_ptr<FrameChannel> Channel_;
    std::vector<std::string> Queued_;
  };
  using Tcp = boost::asio::ip::tcp;

  PeerNetwork(boost::asio::io_context &Control, Tcp::acceptor Acceptor,
              VmId Self, Options Settings, Hooks Callbacks);
  void startInbound(Tcp::socket Socket);
  void onInbound(const std::shared_ptr<FrameChannel> &Channel,
                 wire::EnvelopeT Message);
  void dropInbound(const FrameChannel *Channel);
  void open(const VmId &To);
  Awaitable<void> connect(VmId To, Endpoint Address);
  void linkDown(const VmId &To);

  boost::asio::io_context &Control_;
  std::shared_ptr<AcceptLoop> Accepting_;
  VmId Self_;
  Options Options_;
  Hooks Hooks_;
  std::map<VmId, Link> Links_;
  std::map<VmId, std::shared_ptr<FrameChannel>> Inbound_;
  /// Connections whose peer has not sent its name.
  std::map<const FrameChannel *, std::shared_ptr<FrameChannel>> Unidentified_;
  std::uint64_t ClosedBytesSent_ = 0;
};

} // namespace samphireshunt
