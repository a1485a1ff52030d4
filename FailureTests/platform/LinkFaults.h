#pragma once
/// \file
/// Faults of the links between a daemon and all backend servers, for a daemon
/// that is otherwise unchanged. Its connections to servers pass through a
/// thread of this class, which stops, resets or refuses them.

#include "Connection/TcpConnect.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <csignal>
#include <memory>
#include <thread>
#include <vector>

namespace samphireshunt::tests {

/// Signals that select the state of the links.
inline constexpr int PassSignal = SIGURG;        ///< The links work.
inline constexpr int HangSignal = SIGUSR1;       ///< Nothing arrives any more.
inline constexpr int ResetSignal = SIGUSR2;      ///< All are reset or refused.
inline constexpr int RefuseNewSignal = SIGWINCH; ///< Old connections work.

class LinkFaults {
public:
  LinkFaults();
  ~LinkFaults();
  LinkFaults(const LinkFaults &) = delete;
  LinkFaults &operator=(const LinkFaults &) = delete;

  /// Thread-safe. Must not be called after the destruction of this object.
  Connector connector();

private:
  using Socket = boost::asio::ip::tcp::socket;
  /// A connection: the daemon's end and the server's.
  struct Link {
    Socket Daemon_;
    Socket Server_;
  };

  void awaitSignal();
  void apply(int Signal);
  Awaitable<ConnectResult> connect(Endpoint Address,
                                   std::chrono::milliseconds Timeout);
  void start(std::shared_ptr<Link> Added);
  Awaitable<void> copy(std::shared_ptr<Link> Through, Socket &From, Socket &To);
  static void reset(Link &Target);

  boost::asio::io_context Context_{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      Guard_;
  boost::asio::signal_set Signals_;
  /// Expires when the links no longer hang.
  boost::asio::steady_timer Resumed_;
  std::atomic<int> Mode_;
  std::vector<std::weak_ptr<Link>> Links_;
  std::thread Thread_;
};

} // namespace samphireshunt::tests
