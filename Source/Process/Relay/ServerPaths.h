#pragma once
/// \file
/// Which backend servers this daemon reaches by itself. The code is free of
/// I/O; the current time is passed in.
///
/// Failure pattern: the links between one VM and some or all servers fail,
/// while other VMs reach the servers. The servers look down from here, one
/// after the other. A server counts as cut off from here only if another daemon
/// reached it when this one could not; then all others are doubted and probed
/// at once, since links often fail together.

#include "Common/TimePoint.h"
#include "Connection/TcpConnect.h"

#include <chrono>
#include <map>
#include <optional>
#include <vector>

namespace samphireshunt {

class ServerPaths {
public:
  struct Options {
    std::chrono::milliseconds ProbeInterval_{500};
    /// The minimum time between two doubts of all servers.
    std::chrono::milliseconds DoubtInterval_{1000};
    /// A server without requests for this long is forgotten.
    std::chrono::seconds Memory_{30};
    /// The maximum number of probes that begin together.
    std::size_t MaxProbes_ = 32;
  };

  explicit ServerPaths(Options Settings) : Options_(Settings) {}

  /// A request is about to use the server.
  void used(const Endpoint &Server, TimePoint Now);
  /// This daemon reached the server. \returns true if it was cut off before.
  bool reached(const Endpoint &Server, TimePoint Now);
  /// Another daemon reached the server, but this one did not. \returns true if
  /// this is new.
  bool cutOff(const Endpoint &Server, PortState Seen, TimePoint Now);
  /// A probe did not reach the server.
  void probeFailed(const Endpoint &Server, PortState Seen);

  bool isCutOff(const Endpoint &Server) const;
  /// False if connections that were opened earlier may hang.
  bool trustsIdle(const Endpoint &Server) const;
  std::size_t cutOffCount() const;
  /// True while there is something to probe.
  bool needsProbes() const;
  /// \returns the servers to probe now.
  std::vector<Endpoint> toProbe(TimePoint Now);

private:
  enum class State { Reached, Doubted, CutOff };
  struct Path {
    State State_ = State::Reached;
    /// How the last failure looked.
    PortState Seen_ = PortState::Open;
    TimePoint LastUsed_;
    TimePoint NextProbe_;
  };

  void doubtAll(PortState Seen, TimePoint Now);

  Options Options_;
  std::map<Endpoint, Path> Paths_;
  std::optional<TimePoint> LastDoubt_;
};

} // namespace samphireshunt
