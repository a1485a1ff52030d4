#include "Common/JsonNesting.h"

#include <doctest/doctest.h>

#include <string>

using namespace samphireshunt;

TEST_CASE("arrays and objects count as levels, one after the other don't") {
  CHECK(nestsDeeperThan(R"([{"a":[1]}])", 2));
  CHECK_FALSE(nestsDeeperThan(R"([{"a":[1]}])", 3));
  CHECK_FALSE(nestsDeeperThan("[[],[],[],{}]", 2));
  CHECK_FALSE(nestsDeeperThan("1", 0));
}

TEST_CASE("brackets in a text are no levels, and none are hidden behind one") {
  // Guards against a caller that is refused for what its prompt says, and
  // against one that hides deep nesting behind an escaped quote.
  CHECK_FALSE(nestsDeeperThan(R"({"a":"[[[[\"[[[["})", 1));
  CHECK(nestsDeeperThan(R"({"a":"\\","b":[[]]})", 2));
  CHECK(nestsDeeperThan(R"(["\"",[[]]])", 2));
}

TEST_CASE("closing brackets without opening ones make no room for others") {
  CHECK(nestsDeeperThan("]]]]" + std::string(3, '['), 2));
}
