#include "Request/RequestState.h"

#include <doctest/doctest.h>

#include <atomic>
#include <thread>

using namespace samphireshunt;

TEST_CASE("of a grant and a deadline in one instant, one wins") {
  // Guards against outcome "not-run" for a request that runs: grant and
  // deadline reach the request on two threads at the same time, and each checks
  // the state before it changes it, without atomicity.
  constexpr int Rounds = 20000;
  int Dispatched = 0;
  for (int Round = 0; Round < Rounds; ++Round) {
    RequestState State;
    std::atomic<int> Winners = 0;
    std::atomic<bool> Go = false;
    std::thread Deadline([&] {
      while (!Go)
        std::this_thread::yield();
      Winners += State.tryGiveUp();
    });
    Go = true;
    Winners += State.tryDispatch();
    Deadline.join();
    REQUIRE(Winners == 1);
    Dispatched += State.dispatched();
  }
  CHECK(Dispatched <= Rounds);
}

TEST_CASE("a request that was given up is never dispatched") {
  RequestState State;
  CHECK(State.tryGiveUp());
  CHECK_FALSE(State.tryDispatch());
  CHECK_FALSE(State.tryGiveUp());
  CHECK_FALSE(State.dispatched());
}
