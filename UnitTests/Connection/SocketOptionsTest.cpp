#include "Connection/SocketOptions.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>

#include <doctest/doctest.h>

using namespace samphireshunt;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("a connection survives a server that is silent for a second or so") {
  // Guards against requests that are cut at servers that collect garbage.
  CHECK(toleratedSilence(ServerSilence) >= milliseconds(1500));
}

TEST_CASE("the limit of unacknowledged bytes also ends idle connections") {
  // Guards against a number of probes that is taken for what decides.
  SilenceLimits Limits{milliseconds(2000), seconds(1), seconds(1), 9};
  CHECK(toleratedSilence(Limits) == milliseconds(1000));
  Limits.Unacknowledged_ = milliseconds(2500);
  CHECK(toleratedSilence(Limits) == milliseconds(2000));
}

TEST_CASE("the receive buffers of a thousand callers are bounded") {
  // Guards against a process that is ended for what it has not read yet: the
  // kernel lets a buffer grow to megabytes.
  constexpr std::size_t Share = 5500000;
  constexpr std::size_t Connections = 1074;
  constexpr std::size_t CountedTwice = 2;
  constexpr std::size_t KernelStart = 131072;
  std::size_t Sum = 0;
  for (std::size_t Others = 0; Others < Connections; ++Others)
    Sum += CountedTwice * receiveBufferBytes(Share, Others);
  CHECK(Sum < Connections * KernelStart / 3);
}

TEST_CASE("receive buffers are large enough for large bodies") {
  // Guards against sound bodies that come too slowly to be in time.
  CHECK(receiveBufferBytes(22000000, 10) == 65536);
  CHECK(receiveBufferBytes(1000, 100000) >= 16384);
}

TEST_CASE("a reset shows after a write has seen it, a normal end does not") {
  // Guards against a part of an answer that is taken for the whole: its server
  // resets the connection while the request is still written.
  using Tcp = boost::asio::ip::tcp;
  boost::asio::io_context Context;
  Tcp::acceptor Acceptor(Context,
                         {boost::asio::ip::make_address("127.0.0.1"), 0});
  for (bool Resets : {false, true}) {
    Tcp::socket Near(Context);
    Near.connect(Acceptor.local_endpoint());
    Tcp::socket Far = Acceptor.accept();
    CHECK_FALSE(wasReset(Near));
    if (Resets)
      Far.set_option(boost::asio::socket_base::linger(true, 0));
    Far.close();
    boost::system::error_code Seen;
    char Byte = 0;
    if (Resets)
      Near.write_some(boost::asio::buffer(&Byte, 1), Seen);
    CHECK(Seen.failed() == Resets);
    Near.read_some(boost::asio::buffer(&Byte, 1), Seen);
    CHECK(Seen == boost::asio::error::eof);
    CHECK(wasReset(Near) == Resets);
    Near.close();
    CHECK(wasReset(Near));
  }
}
