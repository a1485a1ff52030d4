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
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace samphireshunt {

/// How a link was lost.
enum class LinkLoss : std::uint8_t {
  Unopened, ///< It could not be opened.
  Failed,   ///< This daemon closed it, for example after a silence.
  Reset     ///< The other daemon, or the network, ended it.
};

/// Returns the name as operators see it, e.g. "reset".
std::string_view linkLossName(LinkLoss Loss);

class PeerNetwork {
public:
  struct Options {
    /// Far longer than any round trip between two VMs: a daemon that does not
    /// accept within this time is down or partitioned.
    std::chrono::milliseconds ConnectTimeout_{500};
    /// How often connections that have not sent their name are looked at. One
    /// that still has not at the sixth time is closed: counted so, a pause of
    /// this process closes none whose name is there to be read.
    std::chrono::milliseconds HelloCheck_{500};
    /// For what all links hold.
    MemoryBudget *Memory_ = &MemoryBudget::unlimited();
  };
  struct Hooks {
    /// Called with a message on a link that \p From opened.
    std::function<void(const VmId &From, wire::EnvelopeT)> RequestReceived_;
    /// Called with a message on a link that this daemon opened to \p From.
    std::function<void(const VmId &From, wire::EnvelopeT)> ReplyReceived_;
    /// Called when a link to \p To could not be opened, or broke.
    std::function<void(const VmId &To, LinkLoss Loss)> LinkDown_;
    /// Called when an open link with \p Other, of either direction, ended.
    std::function<void(const VmId &Other)> LinkEnded_ = [](const VmId &) {};
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
  /// \returns the number of connections whose peer has not sent its name.
  std::size_t unidentified() const { return Unidentified_.size(); }

private:
  struct Link {
    std::shared_ptr<FrameChannel> Channel_;
    /// What waits for the connection, and its memory.
    std::vector<std::string> Queued_;
    std::optional<MemoryUse> Memory_;
    /// Something that waited was dropped: the link is given up once connected.
    bool Overfull_ = false;
  };
  /// A connection whose peer has not sent its name.
  struct Stranger {
    std::shared_ptr<FrameChannel> Channel_;
    int Checks_ = 0;
  };
  using Tcp = boost::asio::ip::tcp;

  PeerNetwork(boost::asio::io_context &Control, Tcp::acceptor Acceptor,
              VmId Self, Options Settings, Hooks Callbacks);
  void startInbound(Tcp::socket Socket);
  void onInbound(const std::shared_ptr<FrameChannel> &Channel,
                 wire::EnvelopeT Message);
  void dropInbound(const FrameChannel *Channel);
  bool identify(const FrameChannel *Channel);
  bool mayLink(const VmId &From) const;
  void checkStrangers();
  void queue(Link &Target, std::string Message);
  FrameChannel::Limits limits(std::size_t FrameBytes) const;
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
  /// In the order in which they were accepted.
  std::vector<Stranger> Unidentified_;
  boost::asio::steady_timer StrangerTimer_;
  std::uint64_t ClosedBytesSent_ = 0;
};

} // namespace samphireshunt
