#include "Connection/CarriedCalls.h"

#include <doctest/doctest.h>

#include <string>

using namespace samphireshunt;

TEST_CASE("a connection knows the ids that it has carried") {
  CarriedCalls Carried;
  CHECK_FALSE(Carried.contains(callKey("c1")));
  Carried.add(callKey("c1"));
  Carried.add(callKey("c2"));
  CHECK(Carried.size() == 2);
  CHECK(Carried.contains(callKey("c1")));
  CHECK(Carried.isSecondAnswer(callKey("c2")));
  CHECK_FALSE(Carried.isSecondAnswer(callKey("c3")));
  CHECK(Carried.mayCarryMore());
}

TEST_CASE("a connection that carried as many calls as it can know carries no "
          "more") {
  // Guards against an id that a connection has forgotten and carries again.
  CarriedCalls Carried;
  for (std::size_t Number = 0; Number < CarriedCalls::MaxCalls; ++Number) {
    REQUIRE(Carried.mayCarryMore());
    Carried.add(callKey("c" + std::to_string(Number)));
  }
  CHECK_FALSE(Carried.mayCarryMore());
  CHECK(Carried.contains(callKey("c0")));
}

TEST_CASE("a call without an id, or HEAD, leaves answers that can't be told") {
  CarriedCalls Unnamed;
  Unnamed.add(callKey(""));
  CHECK_FALSE(Unnamed.mayCarryMore());
  CarriedCalls Head;
  Head.add(callKey("c1"));
  Head.addHead();
  CHECK(Head.mayCarryMore());
  CHECK_FALSE(Head.isSecondAnswer(callKey("c1")));
}
