#include "Process/Configuration/DepartedServers.h"

#include <doctest/doctest.h>

using namespace samphireshunt;

namespace {

constexpr BootTime Now{std::chrono::seconds(1000)};
const std::string Name = "i-1";

StorePosition at(std::uint64_t Era, std::uint64_t Number) {
  return {StoreEra(Era), Revision(Number)};
}

class DepartedFixture {
public:
  DepartedFixture() {
    Servers_.markDeparted(Name, {at(1, 50), Incarnation(7)});
  }
  Admission admitsReported(const StorePosition &Written) const {
    return Servers_.admits(Name, {Written, Incarnation(7), false}, Era_);
  }

  DepartedServers Servers_;
  std::optional<EraStart> Era_;
};

} // namespace

TEST_CASE("in the same era an entry written after the departure is admitted") {
  DepartedFixture Test;
  CHECK(Test.admitsReported(at(1, 50)) == Admission::Refused);
  CHECK(Test.admitsReported(at(1, 40)) == Admission::Refused);
  CHECK(Test.admitsReported(at(1, 51)) == Admission::Admitted);
  CHECK(Test.Servers_.admits(Name, {at(1, 50), Incarnation(7), true}, {}) ==
        Admission::Admitted);
  CHECK(Test.Servers_.admits("i-2", {at(1, 1), Incarnation(), false}, {}) ==
        Admission::Admitted);
}

TEST_CASE("in the next era only an entry written in it is admitted") {
  DepartedFixture Test;
  CHECK(Test.admitsReported(at(2, 90)) == Admission::Unconfirmed);
  Test.Era_ = EraStart{at(2, 30), Now};
  CHECK(Test.admitsReported(at(2, 30)) == Admission::Unconfirmed);
  CHECK(Test.admitsReported(at(2, 31)) == Admission::Admitted);
  CHECK(Test.admitsReported(at(0, 90)) == Admission::Refused);
}

TEST_CASE("a later incarnation is admitted at once") {
  DepartedFixture Test;
  Test.Era_ = EraStart{at(2, 30), Now};
  auto Later =
      Test.Servers_.admits(Name, {at(2, 20), Incarnation(8), true}, Test.Era_);
  CHECK(Later == Admission::Admitted);
}
