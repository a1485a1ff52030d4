#pragma once
/// \file
/// A TCP connection between two daemons that carries length-prefixed messages.
/// All calls and hooks run on the executor of the connection's socket.

#include "Connection/Http.h"
#include "Connection/PeerMessage.h"

#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <functional>
#include <memory>

namespace samphireshunt {

/// Limit of the send queue of one connection: two frames of the maximum size.
/// Without a limit, a peer that reads nothing for a while, or less than is sent
/// to it, lets this process grow until it exceeds its memory limit and is
/// killed. A connection over the limit is closed with a `link-overfull` log
/// line; whoever needs the link opens it again with an empty queue.
inline constexpr std::size_t MaxQueuedBytes = 2 * MaxFrameBytes;

/// One connection. It closes itself when the peer stays silent while a response
/// is awaited.
class FrameChannel : public std::enable_shared_from_this<FrameChannel> {
public:
  struct Hooks {
    std::function<void(wire::EnvelopeT)> Received_;
    std::function<void()> Closed_;
    /// True while something is awaited from the peer. Only then are heartbeats
    /// sent and is silence treated as a failure of the connection.
    std::function<bool()> Awaiting_;
  };
  struct Timing {
    /// Time without a received byte after which a heartbeat is requested. It is
    /// also the interval at which the receiver of a long frame reports
    /// progress.
    std::chrono::milliseconds Heartbeat_{200};
    /// Time without a received byte after which the connection is closed.
    std::chrono::milliseconds Silence_{700};
  };

  static std::shared_ptr<FrameChannel>
  create(boost::asio::ip::tcp::socket Socket, Hooks Callbacks, Timing Periods);

  /// Queues one encoded message. If the queue exceeds MaxQueuedBytes, the
  /// connection closes itself; Closed_ is then called later, not on the
  /// caller's stack.
  void send(std::string Message);
  /// Closes the connection immediately; Closed_ is not called.
  void close();
  bool isOpen() const { return Socket_.is_open(); }
  std::uint64_t bytesSent() const { return BytesSent_; }

private:
  using TimePoint = std::chrono::steady_clock::time_point;

  FrameChannel(boost::asio::ip::tcp::socket Socket, Hooks Callbacks,
               Timing Periods);
  Awaitable<void> readFrames();
  /// Reads until \p Target is full. Each chunk received counts as a sign of
  /// life.
  Awaitable<boost::system::error_code>
  readAll(boost::asio::mutable_buffer Target);
  /// Reports to the peer that a long frame is still arriving. \p Begun is the
  /// time at which the first bytes of the current read arrived.
  void reportProgress(TimePoint Begun);
  Awaitable<void> writeFrames();
  Awaitable<void> watchSilence();
  void fail();
  void closeOnFullQueue();
  void receive(std::string_view Bytes);

  boost::asio::ip::tcp::socket Socket_;
  Hooks Hooks_;
  Timing Timing_;
  std::deque<std::string> Outgoing_;
  boost::asio::steady_timer SilenceTimer_;
  TimePoint LastReceived_;
  /// When the peer was last notified that a frame from it is arriving.
  TimePoint LastProgressSent_;
  std::size_t QueuedBytes_ = 0;
  std::uint64_t BytesSent_ = 0;
  bool Writing_ = false;
};

} // namespace samphireshunt
