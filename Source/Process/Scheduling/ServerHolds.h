#pragma once
/// \file
/// Whether this daemon may send a request to a server, by what the server has
/// said in answers to this daemon. The code is free of I/O; the current time is
/// passed in.
///
/// Failure pattern: a server says that it leaves, or wants a rest, while the
/// platform's service is down or late, and requests that were granted or queued
/// before are still on their way. The question is asked at the grant and again
/// just before bytes are sent, for requests of this daemon and for those that
/// it relays.

#include "Common/Ids.h"
#include "Common/TimePoint.h"

#include <chrono>
#include <map>

namespace samphireshunt {

class ServerHolds {
public:
  /// The server's process said that it leaves.
  void leave(const ServerName &Server, Incarnation Process, TimePoint Now);
  /// The server wants no requests until \p Until. A shorter time than one that
  /// it named before changes nothing.
  void rest(const ServerName &Server, TimePoint Until, TimePoint Now);

  /// \returns false while requests must not be sent to the server's process.
  bool maySend(const ServerName &Server, Incarnation Process,
               TimePoint Now) const;
  /// \returns true if the server's process said that it leaves.
  bool isLeaving(const ServerName &Server, Incarnation Process) const;
  /// \returns the end of the server's rest; the clock's epoch without one.
  TimePoint restUntil(const ServerName &Server) const;
  /// Forgets servers that have not been heard of for a long time.
  void forgetOld(TimePoint Now);

private:
  struct Hold {
    bool Leaving_ = false;
    /// The process that leaves.
    Incarnation Process_;
    TimePoint RestUntil_;
    TimePoint Heard_;
  };

  std::map<ServerName, Hold> Holds_;
};

} // namespace samphireshunt
