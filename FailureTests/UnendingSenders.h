#pragma once
/// \file
/// Connections that send without end and stay open.

#include "Connection/Http.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace samphireshunt::tests {

/// Used on the thread of its event loop only.
class UnendingSenders {
public:
  explicit UnendingSenders(boost::asio::io_context &Context)
      : Context_(Context) {}

  /// Connects to \p To, sends \p Start and then one letter for as long as that
  /// is read, up to \p Most bytes and half a second. The connection stays open
  /// until closeAll().
  Awaitable<void> send(Endpoint To, std::string Start, std::size_t Most);
  /// \returns how many of the connections the other end closes within
  /// \p Limit.
  Awaitable<std::size_t> countEnded(std::chrono::milliseconds Limit);
  void closeAll() { Peers_.clear(); }

private:
  boost::asio::io_context &Context_;
  std::vector<std::shared_ptr<boost::asio::ip::tcp::socket>> Peers_;
};

} // namespace samphireshunt::tests
