#include "Process/Configuration/DepartedServers.h"

#include <doctest/doctest.h>

using namespace samphireshunt;
using std::chrono::seconds;

namespace {

constexpr BootTime Now{seconds(1000)};
constexpr seconds Lapse{6};
const std::string Name = "i-1";

StorePosition at(std::uint64_t Era, std::uint64_t Number) {
  return {StoreEra(Era), Revision(Number)};
}

class DepartedFixture {
public:
  DepartedFixture() { Servers_.left(Name, {at(1, 50), Incarnation(7)}); }
  bool admitsTold(const StorePosition &Written, BootTime When = Now) const {
    return Servers_.admits(Name, {Written, Incarnation(7), false}, Era_, When);
  }

  DepartedServers Servers_{Lapse};
  std::optional<EraStart> Era_;
};

} // namespace

TEST_CASE("in one era what was written after the departure counts") {
  DepartedFixture Test;
  CHECK_FALSE(Test.admitsTold(at(1, 50)));
  CHECK_FALSE(Test.admitsTold(at(1, 40)));
  CHECK(Test.admitsTold(at(1, 51)));
  CHECK(Test.Servers_.admits(Name, {at(1, 50), Incarnation(7), true}, {}, Now));
  CHECK(Test.Servers_.admits("i-2", {at(1, 1), Incarnation(), false}, {}, Now));
}

TEST_CASE("in the next era what was written there counts, and what did not "
          "lapse") {
  DepartedFixture Test;
  Test.Era_ = EraStart{at(2, 30), Now};
  CHECK_FALSE(Test.admitsTold(at(2, 30)));
  CHECK(Test.admitsTold(at(2, 31)));
  CHECK_FALSE(Test.admitsTold(at(2, 20), Now + Lapse - seconds(1)));
  CHECK(Test.admitsTold(at(2, 20), Now + Lapse));
  CHECK_FALSE(Test.admitsTold(at(0, 90), Now + Lapse));
}

TEST_CASE("a later incarnation counts at once") {
  DepartedFixture Test;
  Test.Era_ = EraStart{at(2, 30), Now};
  CHECK(Test.Servers_.admits(Name, {at(2, 20), Incarnation(8), true}, Test.Era_,
                             Now));
}
