#pragma once
/// \file
/// Accepts connections for as long as its acceptor is open.

#include "Connection/Http.h"

#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <string_view>

namespace samphireshunt {

/// Used on the thread that runs the acceptor's context.
class AcceptLoop : public std::enable_shared_from_this<AcceptLoop> {
public:
  using Tcp = boost::asio::ip::tcp;
  struct Hooks {
    /// \returns the context of the next connection.
    std::function<boost::asio::io_context &()> Context_;
    std::function<void(Tcp::socket)> Accepted_;
  };

  /// \p Name is a string literal that names the listener in logs.
  static std::shared_ptr<AcceptLoop>
  create(Tcp::acceptor Acceptor, std::string_view Name, Hooks Reactions);

  void start() { acceptNext(); }
  void stop();
  Endpoint address() const { return Acceptor_.local_endpoint(); }

private:
  AcceptLoop(Tcp::acceptor Acceptor, std::string_view Name, Hooks Reactions);
  void acceptNext();
  void pause(const boost::system::error_code &Cause);

  Tcp::acceptor Acceptor_;
  std::string_view Name_;
  Hooks Hooks_;
  boost::asio::steady_timer Timer_;
  std::chrono::steady_clock::time_point LastLine_;
};

} // namespace samphireshunt
