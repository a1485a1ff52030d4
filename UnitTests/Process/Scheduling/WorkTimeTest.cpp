#include "Process/Scheduling/WorkTime.h"

#include <doctest/doctest.h>

#include <limits>

using namespace samphireshunt;
using std::chrono::milliseconds;

namespace {

constexpr TimePoint Start{std::chrono::seconds(1000)};
constexpr WorkTimeFactor Usual = WorkTimeFactor::of(1);
constexpr WorkTimeFactor Slow = WorkTimeFactor::of(2.5);

/// Reads a server every 10 ms for 60 s: slow for 100 ms of each 500 ms.
TimePoint readRegularly(WorkTime &Server, WorkTimePattern &Pattern) {
  TimePoint Now = Start;
  for (int Index = 0; Index < 6000; ++Index, Now += milliseconds(10))
    Server.read(Index % 50 < 10 ? Slow : Usual, Now, Pattern);
  return Now;
}

} // namespace

TEST_CASE("figures that no server can mean are no work times") {
  // Guards against a server that gets all requests, or none, by a bad figure.
  for (std::uint32_t Bad :
       {0U, 9U, 5001U, std::numeric_limits<std::uint32_t>::max()})
    CHECK_FALSE(WorkTimeFactor::fromPercent(Bad).has_value());
  CHECK(WorkTimeFactor::fromPercent(250)->value() == doctest::Approx(2.5));
  CHECK(Slow.applyTo(milliseconds(60)) == milliseconds(150));
  CHECK(Slow.removeFrom(milliseconds(150)) == milliseconds(60));
}

TEST_CASE("the mean work time and the length of slow moments are learned") {
  // Guards against a length that stays what was assumed before any reading.
  WorkTime Server;
  WorkTimePattern Pattern;
  CHECK(Pattern.mean().value() == 1);
  readRegularly(Server, Pattern);
  CHECK(Pattern.readings() == 6000);
  CHECK(Pattern.mean().value() == doctest::Approx(1.3).epsilon(0.1));
  CHECK(Pattern.slowTime() > milliseconds(80));
  CHECK(Pattern.slowTime() < milliseconds(130));
}

TEST_CASE("a reading counts less the older it is") {
  // Guards against a server that is avoided long after its slow moment.
  WorkTime Server;
  WorkTimePattern Pattern;
  TimePoint Now = readRegularly(Server, Pattern);
  Server.read(Slow, Now, Pattern);
  auto After = [&](int Millis) {
    return Server.expectedAt(Now + milliseconds(Millis), Pattern).value();
  };
  CHECK(After(0) == doctest::Approx(2.5));
  CHECK(After(50) < After(0));
  CHECK(After(1000) == doctest::Approx(Pattern.mean().value()).epsilon(0.01));
  double Short = Server.expectedOver(Now, milliseconds(20), Pattern).value();
  double Long = Server.expectedOver(Now, milliseconds(9000), Pattern).value();
  CHECK(Short > 2.2);
  CHECK(Long < Pattern.mean().value() + 0.1);
}

TEST_CASE("a server that never told its work time counts as usual") {
  // Guards against avoiding servers that don't tell the figure.
  WorkTime Telling;
  WorkTimePattern Pattern;
  TimePoint Now = readRegularly(Telling, Pattern);
  WorkTime Silent;
  CHECK(Silent.expectedAt(Now, Pattern).value() == 1);
  CHECK(Silent.expectedOver(Now, milliseconds(60), Pattern).value() == 1);
}
