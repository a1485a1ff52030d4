#pragma once
/// \file
/// A TCP connection between two daemons that carries length-framed messages.
/// All calls and hooks run on the executor of the connection's socket.

#include "Connection/Http.h"
#include "Connection/PeerMessage.h"

#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <functional>
#include <memory>

namespace samphireshunt {

/// One connection; closes itself when the other side stays silent.
class FrameChannel : public std::enable_shared_from_this<FrameChannel> {
public:
  struct Hooks {
    std::function<void(wire::EnvelopeT)> Received_;
    std::function<void()> Closed_;
    /// True while something is awaited from the other side: only then are
    /// heartbeats sent and silence taken for death.
    std::function<bool()> Awaiting_;
  };
  struct Timing {
    /// After this without a message one is asked for.
    std::chrono::milliseconds Heartbeat_{200};
    std::chrono::milliseconds Silence_{700};
  };

  static std::shared_ptr<FrameChannel>
  create(boost::asio::ip::tcp::socket Socket, Hooks Reactions, Timing Periods);

  /// Queues one encoded message.
  void send(std::string Message);
  /// Closes at once; Closed_ is not called.
  void close();
  bool isOpen() const { return Socket_.is_open(); }
  std::uint64_t bytesSent() const { return BytesSent_; }

private:
  FrameChannel(boost::asio::ip::tcp::socket Socket, Hooks Reactions,
               Timing Periods);
  Awaitable<void> readFrames();
  Awaitable<void> writeFrames();
  Awaitable<void> watchSilence();
  void fail();
  void receive(std::string_view Bytes);

  boost::asio::ip::tcp::socket Socket_;
  Hooks Hooks_;
  Timing Timing_;
  std::deque<std::string> Outgoing_;
  boost::asio::steady_timer SilenceTimer_;
  std::chrono::steady_clock::time_point LastHeard_;
  std::uint64_t BytesSent_ = 0;
  bool Writing_ = false;
};

} // namespace samphireshunt
