#pragma once
/// \file
/// Options of TCP sockets against peers that fall silent.

#include <boost/asio/ip/tcp.hpp>

#include <chrono>

namespace samphireshunt {

/// How long a peer may leave bytes unacknowledged, and an idle one may leave
/// probes unanswered, before the connection counts as broken.
struct SilenceLimits {
  std::chrono::milliseconds Unacknowledged_;
  std::chrono::seconds ProbeAfter_;
  std::chrono::seconds ProbeInterval_;
  int Probes_;
};

/// A VM without power, or behind a partition, sends nothing at all: without
/// these limits a read from it waits for ever. Errors are ignored: a socket
/// that can't take an option still works.
void limitSilence(boost::asio::ip::tcp::socket &Socket,
                  const SilenceLimits &Limits);

} // namespace samphireshunt
