#include "Version/SharedValues.h"

#include <doctest/doctest.h>

#include <string>

using namespace samphireshunt;

TEST_CASE("equal values are one object until nobody holds it") {
  // Were a value forgotten while a route holds it, the next equal one would be
  // a second object, and memory would grow with the versions.
  SharedValues<std::string> Values;
  auto Held = Values.find("a");
  Values.find("b");
  CHECK(Values.size() == 2);
  Values.dropUnused();
  CHECK(Values.size() == 1);
  CHECK(Values.find("a") == Held);
  Held.reset();
  Values.dropUnused();
  CHECK(Values.size() == 0);
}

TEST_CASE("a shared value reads like the value, or like the default one") {
  Shared<std::string> None;
  CHECK(None->empty());
  Shared<std::string> Given = std::string("a");
  Shared<std::string> Copy;
  Copy = Given;
  CHECK(&*Copy == &*Given);
  CHECK(*Copy == "a");
}
