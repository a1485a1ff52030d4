/// \file
/// Tests how a process of a large fleet learns how the one before it ended, in
/// virtual time.

#include "UnitTests/Process/Membership/SimulatedFleet.h"

#include <doctest/doctest.h>

using namespace samphireshunt;
using namespace samphireshunt::tests;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t LargestFleet = 400;
constexpr std::uint8_t AlmostAll = 98;

double bytesPerSecond(std::size_t Size, std::uint8_t MemoryPercent) {
  SimulatedFleet Fleet(Size, {});
  for (std::size_t Index = 0; Index < Size; ++Index)
    Fleet.setMemoryPercent(Index, MemoryPercent);
  Fleet.runFor(seconds(5));
  std::uint64_t Before = Fleet.bytesSent();
  constexpr seconds Time{10};
  Fleet.runFor(Time);
  return static_cast<double>(Fleet.bytesSent() - Before) /
         static_cast<double>(Size) / static_cast<double>(Time.count());
}

} // namespace

TEST_CASE("a process learns from the others how the one before it ended") {
  // Guards against a process that was killed at its memory's limit and of whose
  // end nothing can be found.
  for (bool Stopped : {false, true}) {
    CAPTURE(Stopped);
    SimulatedFleet Fleet(LargestFleet, {});
    constexpr std::size_t Target = 7;
    Fleet.setMemoryPercent(Target, AlmostAll);
    Fleet.runFor(seconds(10));
    if (Stopped) {
      Fleet.members(Target).leave();
      Fleet.runFor(seconds(5));
    }
    Fleet.kill(Target);
    Fleet.runFor(milliseconds(1200));
    Fleet.restart(Target);
    Fleet.runFor(seconds(1));
    auto End = Fleet.previous(Target).end();
    REQUIRE(End);
    CHECK(End->Incarnation_ == Incarnation(1));
    CHECK(End->Left_ == Stopped);
    CHECK(End->LastHealth_.MemoryPercent_ == AlmostAll);
    CHECK(End->Silence_ >= milliseconds(1200));
    CHECK(End->Silence_ <= milliseconds(2200));
  }
}

TEST_CASE("what daemons say of themselves costs little") {
  // Guards against reports that take the room of control messages.
  double Without = bytesPerSecond(LargestFleet, 0);
  double With = bytesPerSecond(LargestFleet, AlmostAll);
  MESSAGE(Without << " bytes a second each without, " << With << " with");
  CHECK(With - Without < 70);
}
