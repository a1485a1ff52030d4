#pragma once
/// \file
/// TCP socket options that detect unresponsive peers, and what the kernel tells
/// of a connection.

#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstddef>

namespace samphireshunt {

/// How long a peer may leave sent bytes unacknowledged, and how many keep-alive
/// probes it may leave unanswered while idle, before the connection counts as
/// broken.
struct SilenceLimits {
  std::chrono::milliseconds Unacknowledged_;
  std::chrono::seconds ProbeAfter_;
  std::chrono::seconds ProbeInterval_;
  int Probes_;
};

/// The limits of connections to backend servers. A server may be silent for a
/// second or so and go on: a shorter limit would cut the requests that it runs.
/// A longer one would hold requests of a server that is gone.
inline constexpr SilenceLimits ServerSilence{std::chrono::milliseconds(3000),
                                             std::chrono::seconds(1),
                                             std::chrono::seconds(1), 2};

/// \returns for how long an idle connection surely survives a peer that sends
/// nothing. Linux gives up at the first probe that is due when the peer has
/// been silent for Unacknowledged_, whatever the number of probes.
std::chrono::milliseconds toleratedSilence(const SilenceLimits &Limits);

/// \returns the size of the receive buffer of a connection that is accepted
/// beside \p Connections others, so that all of them together take about \p
/// Share bytes, however many there are. The kernel counts twice as much.
///
/// Load pattern: thousands of callers that send on while their requests wait.
std::size_t receiveBufferBytes(std::size_t Share, std::size_t Connections);

/// Sets the receive buffer of \p Socket to \p Bytes, and keeps the kernel from
/// enlarging it. Errors are ignored.
void limitReceiveBuffer(boost::asio::ip::tcp::socket &Socket,
                        std::size_t Bytes);

/// Applies \p Limits to \p Socket. A VM that has lost power or is behind a
/// network partition sends nothing at all; without these limits a read from it
/// would wait forever. Errors are ignored: a socket that doesn't support an
/// option still works.
void limitSilence(boost::asio::ip::tcp::socket &Socket,
                  const SilenceLimits &Limits);

/// \returns whether a connection whose end has been read was reset, or is
/// closed here. The kernel reports a reset to one call only: if that was a
/// write, reads see a normal end.
bool wasReset(boost::asio::ip::tcp::socket &Socket);

} // namespace samphireshunt
