#pragma once
/// \file
/// The TCP links of a daemon with other daemons: one that it opened to each
/// daemon that it asks, and those that others opened. Runs on the control
/// thread.

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
    /// Far longer than any way between two VMs: one that does not answer by
    /// then is down or cut off.
    std::chrono::milliseconds ConnectTimeout_{500};
  };
  struct Hooks {
    /// A message on a link that \p From opened.
    std::function<void(const VmId &From, wire::EnvelopeT)> Asked_;
    /// A message on a link that this daemon opened to \p From.
    std::function<void(const VmId &From, wire::EnvelopeT)> Answered_;
    /// A link to \p To could not be opened, or broke.
    std::function<void(const VmId &To)> LinkDown_;
    /// \p From opened a link; earlier ones of it are void.
    std::function<void(const VmId &From)> AskerCame_;
    /// The link that \p From had opened broke.
    std::function<void(const VmId &From)> AskerGone_;
    /// True while an answer of \p To is awaited.
    std::function<bool(const VmId &To)> Awaiting_;
    std::function<std::optional<std::string>(const VmId &)> AddressOf_;
  };

  static Result<std::unique_ptr<PeerNetwork>>
  create(boost::asio::io_context &Control, Endpoint Address, VmId Self,
         Options Settings, Hooks Reactions);

  Endpoint address() const { return Acceptor_.local_endpoint(); }
  /// Sends on the link to \p To, which is opened when there is none.
  void send(const VmId &To, std::string Message);
  /// Sends on the link that \p To opened; lost when there is none.
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
              VmId Self, Options Settings, Hooks Reactions);
  void acceptNext();
  void startInbound(Tcp::socket Socket);
  void onInbound(const std::shared_ptr<FrameChannel> &Channel,
                 wire::EnvelopeT Message);
  void dropInbound(const FrameChannel *Channel);
  void open(const VmId &To);
  Awaitable<void> connect(VmId To, Endpoint Address);
  void linkDown(const VmId &To);

  boost::asio::io_context &Control_;
  Tcp::acceptor Acceptor_;
  VmId Self_;
  Options Options_;
  Hooks Hooks_;
  std::map<VmId, Link> Links_;
  std::map<VmId, std::shared_ptr<FrameChannel>> Inbound_;
  /// Connections whose other end has not said who it is.
  std::map<const FrameChannel *, std::shared_ptr<FrameChannel>> Unnamed_;
  std::uint64_t BytesOfClosed_ = 0;
};

} // namespace samphireshunt
