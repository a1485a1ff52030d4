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
