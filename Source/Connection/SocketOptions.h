#pragma once
/// \file
/// TCP socket options that detect unresponsive peers.

#include <boost/asio/ip/tcp.hpp>

#include <chrono>

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

/// Applies \p Limits to \p Socket. A VM that has lost power or is behind a
/// network partition sends nothing at all; without these limits a read from it
/// would wait forever. Errors are ignored: a socket that doesn't support an
/// option still works.
void limitSilence(boost::asio::ip::tcp::socket &Socket,
                  const SilenceLimits &Limits);

} // namespace samphireshunt
