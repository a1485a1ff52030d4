#pragma once
/// \file
/// A TCP connection between two daemons that carries length-prefixed messages.
/// All calls and hooks run on the executor of the connection's socket.

#include "Connection/Http.h"
#include "Connection/MemoryBudget.h"
#include "Connection/PeerMessage.h"

#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace samphireshunt {

/// Limit of the send queue of one connection: two frames of the maximum size.
/// Without a limit, a peer that reads nothing for a while, or less than is sent
/// to it, lets this process grow until it exceeds its memory limit and is
/// killed. A connection over the limit is closed with a `link-overfull` log
/// line; whoever needs the link opens it again with an empty queue.
inline constexpr std::size_t MaxQueuedBytes = 2 * MaxFrameBytes;
/// How much of a frame has to arrive within Timing::Progress_, in bytes. A slow
/// link that hundreds of transfers share still carries more.
inline constexpr std::size_t MinFrameProgress = 4096;

/// One connection. It closes itself when the peer stays silent while a response
/// is awaited, when a frame makes no progress, and when there is no memory for
/// what it holds.
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
    /// Time in which MinFrameProgress bytes of a frame have to arrive, whether
    /// or not something is awaited.
    std::chrono::milliseconds Progress_{5000};
  };
  struct Limits {
    /// For the frame that is being read, and for what waits to be sent.
    MemoryBudget *Memory_ = &MemoryBudget::unlimited();
    /// The longest frame that is read.
    std::size_t FrameBytes_ = MaxFrameBytes;
  };

  static std::shared_ptr<FrameChannel>
  create(boost::asio::ip::tcp::socket Socket, Hooks Callbacks, Timing Periods,
         Limits Bounds = {&MemoryBudget::unlimited(), MaxFrameBytes});

  /// Queues one encoded message. If the queue exceeds MaxQueuedBytes, the
  /// connection closes itself; Closed_ is then called later, not on the
  /// caller's stack.
  void send(std::string Message);
  /// Closes the connection immediately; Closed_ is not called.
  void close();
  /// Sets the longest frame that is read from now on, in bytes.
  void setFrameLimit(std::size_t Bytes) { Limits_.FrameBytes_ = Bytes; }
  bool isOpen() const { return Socket_.is_open(); }
  /// Returns whether the peer, or the network, ended the connection, and not
  /// this side because of a silent peer or for want of memory.
  bool wasReset() const { return WasReset_; }
  std::uint64_t bytesSent() const { return BytesSent_; }

private:
  using TimePoint = std::chrono::steady_clock::time_point;

  /// The frame that is being read, from the first byte of its length on.
  struct IncomingFrame {
    std::size_t Bytes_ = 0; ///< Bytes that have arrived, with its length.
    /// Bytes that had arrived at the last check of its progress.
    std::size_t CheckedBytes_ = 0;
    TimePoint Checked_;
  };

  FrameChannel(boost::asio::ip::tcp::socket Socket, Hooks Callbacks,
               Timing Periods, Limits Bounds);
  Awaitable<void> readFrames();
  /// Reads until \p Target is full. Each chunk received counts as a sign of
  /// life.
  Awaitable<boost::system::error_code>
  readAll(boost::asio::mutable_buffer Target);
  /// Reads a frame of \p Size bytes. The memory for it grows with what arrives.
  /// \returns nothing if the connection ends or has no memory for it.
  Awaitable<std::optional<std::string>> readBody(std::size_t Size);
  /// Waits for the memory of \p Bytes of a frame. \returns false if there is
  /// none in time.
  Awaitable<bool> awaitMemory(std::size_t Bytes);
  bool makesProgress(TimePoint Now);
  Awaitable<boost::system::error_code> writeAll(const std::string &Frame);
  /// Reports to the peer that a long frame is still arriving. \p Begun is the
  /// time at which the first bytes of the current read arrived.
  void reportProgress(TimePoint Begun);
  Awaitable<void> writeFrames();
  Awaitable<void> watchSilence();
  void fail();
  void noteError(const boost::system::error_code &Error);
  /// Closes the socket and logs \p Event with \p Bytes in the field \p Name.
  void closeForMemory(std::string_view Event, std::string_view Name,
                      std::size_t Bytes);
  void receive(std::string_view Bytes);

  boost::asio::ip::tcp::socket Socket_;
  Hooks Hooks_;
  Timing Timing_;
  Limits Limits_;
  MemoryUse FrameMemory_;
  MemoryUse QueueMemory_;
  std::optional<IncomingFrame> Incoming_;
  std::deque<std::string> Outgoing_;
  boost::asio::steady_timer SilenceTimer_;
  TimePoint LastReceived_;
  /// When the peer last took bytes, while some wait for it.
  TimePoint LastWritten_;
  /// When the peer was last notified that a frame from it is arriving.
  TimePoint LastProgressSent_;
  std::uint64_t BytesSent_ = 0;
  bool Writing_ = false;
  bool WasReset_ = false;
};

} // namespace samphireshunt
