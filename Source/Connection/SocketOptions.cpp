#include "Connection/SocketOptions.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace samphireshunt {

namespace {

void setOption(int Socket, int Level, int Name, int Value) {
  // Errors are ignored, see limitSilence().
  (void)setsockopt(Socket, Level, Name, &Value, sizeof(Value));
}

} // namespace

std::chrono::milliseconds toleratedSilence(const SilenceLimits &Limits) {
  // The peer may have fallen silent right before the first probe.
  std::chrono::milliseconds Silent = Limits.ProbeAfter_;
  while (Silent < Limits.Unacknowledged_)
    Silent += Limits.ProbeInterval_;
  return Silent - Limits.ProbeAfter_;
}

void limitSilence(boost::asio::ip::tcp::socket &Socket,
                  const SilenceLimits &Limits) {
  int Handle = Socket.native_handle();
  setOption(Handle, IPPROTO_TCP, TCP_USER_TIMEOUT,
            static_cast<int>(Limits.Unacknowledged_.count()));
  setOption(Handle, SOL_SOCKET, SO_KEEPALIVE, 1);
  setOption(Handle, IPPROTO_TCP, TCP_KEEPIDLE,
            static_cast<int>(Limits.ProbeAfter_.count()));
  setOption(Handle, IPPROTO_TCP, TCP_KEEPINTVL,
            static_cast<int>(Limits.ProbeInterval_.count()));
  setOption(Handle, IPPROTO_TCP, TCP_KEEPCNT, Limits.Probes_);
}

} // namespace samphireshunt
