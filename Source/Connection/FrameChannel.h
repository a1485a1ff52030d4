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

/// Bytes that may wait to be sent on one connection: two of the longest frames.
/// What goes wrong without a bound: the other side takes nothing for a while,
/// or less than is sent to it, and this process grows until it is over its
/// memory limit and ends. One notices by a `link-overfull` line; the link is
/// opened anew by who needs it, with nothing queued.
inline constexpr std::size_t MaxQueuedBytes = 2 * MaxFrameBytes;

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
    /// After this without a byte a message is asked for; who takes a frame for
    /// longer says so as often.
    std::chrono::milliseconds Heartbeat_{200};
    std::chrono::milliseconds Silence_{700};
  };

  static std::shared_ptr<FrameChannel>
  create(boost::asio::ip::tcp::socket Socket, Hooks Reactions, Timing Periods);

  /// Queues one encoded message. With too much queued the link closes itself,
  /// and Closed_ is called later, not on the caller's stack.
  void send(std::string Message);
  /// Closes at once; Closed_ is not called.
  void close();
  bool isOpen() const { return Socket_.is_open(); }
  std::uint64_t bytesSent() const { return BytesSent_; }

private:
  using TimePoint = std::chrono::steady_clock::time_point;

  FrameChannel(boost::asio::ip::tcp::socket Socket, Hooks Reactions,
               Timing Periods);
  Awaitable<void> readFrames();
  /// Reads to the end of \p Target; each part that comes counts as heard.
  Awaitable<boost::system::error_code>
  readAll(boost::asio::mutable_buffer Target);
  /// \p Begun is when the first bytes of what is being read came.
  void tellProgress(TimePoint Begun);
  Awaitable<void> writeFrames();
  Awaitable<void> watchSilence();
  void fail();
  void closeOverfull();
  void receive(std::string_view Bytes);

  boost::asio::ip::tcp::socket Socket_;
  Hooks Hooks_;
  Timing Timing_;
  std::deque<std::string> Outgoing_;
  boost::asio::steady_timer SilenceTimer_;
  TimePoint LastHeard_;
  /// When the other side was last told that a frame of it comes in.
  TimePoint LastTold_;
  std::size_t QueuedBytes_ = 0;
  std::uint64_t BytesSent_ = 0;
  bool Writing_ = false;
};

} // namespace samphireshunt
