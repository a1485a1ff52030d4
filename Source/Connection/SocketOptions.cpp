#include "Connection/SocketOptions.h"

#include <algorithm>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace samphireshunt {

namespace {

void setOption(int Socket, int Level, int Name, int Value) {
  // Errors are ignored, see limitSilence().
  (void)setsockopt(Socket, Level, Name, &Value, sizeof(Value));
}

} // namespace

std::size_t receiveBufferBytes(std::size_t Share, std::size_t Connections) {
  // With less a sender stops after each packet of a large body. More than the
  // kernel's own first size is not needed.
  constexpr std::size_t Least = 16384;
  constexpr std::size_t Most = 65536;
  // The sum over connections grows with the logarithm of their number: of
  // thousands it is about eight times that of one.
  constexpr std::size_t Harmonic = 8;
  constexpr std::size_t CountedTwice = 2;
  std::size_t Bytes = Share / (Harmonic * CountedTwice * (Connections + 1));
  return std::clamp(Bytes, Least, Most);
}

void limitReceiveBuffer(boost::asio::ip::tcp::socket &Socket,
                        std::size_t Bytes) {
  setOption(Socket.native_handle(), SOL_SOCKET, SO_RCVBUF,
            static_cast<int>(Bytes));
}

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

bool wasReset(boost::asio::ip::tcp::socket &Socket) {
  tcp_info Info{};
  socklen_t Size = sizeof(Info);
  int Failed =
      ::getsockopt(Socket.native_handle(), IPPROTO_TCP, TCP_INFO, &Info, &Size);
  return Failed != 0 || Info.tcpi_state == TCP_CLOSE;
}

} // namespace samphireshunt
