#include "Connection/SocketOptions.h"

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

TEST_CASE("the receive buffers of thousands of callers are bounded together") {
  // Guards against a process that is ended for what it has not read yet.
  constexpr std::size_t Share = 22000000;
  constexpr std::size_t CountedTwice = 2;
  std::size_t Sum = 0;
  for (std::size_t Others = 0; Others < 3900; ++Others)
    Sum += CountedTwice * receiveBufferBytes(Share, Others);
  CHECK(Sum < Share * 3 / 2);
}

TEST_CASE("a few callers have receive buffers of the usual size") {
  // Guards against large bodies that come slowly at a daemon with few callers.
  CHECK(receiveBufferBytes(22000000, 10) == 65536);
  CHECK(receiveBufferBytes(1000, 100000) >= 2048);
}
