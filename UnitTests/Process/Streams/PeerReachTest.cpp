#include "Process/Streams/PeerReach.h"

#include <doctest/doctest.h>

using namespace samphireshunt;
using std::chrono::milliseconds;

namespace {

constexpr TimePoint Start{std::chrono::seconds(1000)};
constexpr milliseconds AnswerTime{100};

PeerReach asked(int Count) {
  PeerReach Reach({.MinSilent_ = 3, .AnswerTime_ = AnswerTime});
  for (int Number = 0; Number < Count; ++Number)
    Reach.asked(VmId(std::to_string(Number)), Start);
  return Reach;
}

} // namespace

TEST_CASE("others are out of reach once several have not answered in time") {
  CHECK_FALSE(asked(3).isLost(Start + AnswerTime - milliseconds(1)));
  CHECK(asked(3).isLost(Start + AnswerTime));
  CHECK_FALSE(asked(0).isLost(Start + AnswerTime));
}

TEST_CASE("two daemons that don't answer may both have ended") {
  // Guards against a daemon that takes the end of others for its own cut.
  PeerReach Reach = asked(2);
  Reach.asked(VmId("0"), Start);
  CHECK_FALSE(Reach.isLost(Start + AnswerTime));
}

TEST_CASE("a daemon that is heard shows that others are in reach again") {
  PeerReach Reach = asked(3);
  for (const char *From : {"0", "1", "2"})
    Reach.heard(VmId(From), Start + milliseconds(10));
  CHECK_FALSE(Reach.isLost(Start + AnswerTime));
  auto Again = Start + milliseconds(500);
  for (const char *To : {"0", "1", "2"})
    Reach.asked(VmId(To), Again);
  CHECK_FALSE(Reach.isLost(Again + AnswerTime - milliseconds(1)));
  CHECK(Reach.isLost(Again + AnswerTime));
}

TEST_CASE("daemons that are cut off together are out of reach of the others") {
  // Guards against a few that hear each other and hold up callers for the rest.
  PeerReach Reach = asked(3);
  Reach.heard(VmId("near"), Start + milliseconds(10));
  CHECK(Reach.isLost(Start + AnswerTime));
}

TEST_CASE("daemons that have ended don't make the rest unreachable") {
  // Guards against refusals by all after a part of the fleet lost its power.
  PeerReach Reach = asked(6);
  for (int Number = 0; Number < 4; ++Number)
    Reach.heard(VmId("up-" + std::to_string(Number)),
                Start + milliseconds(10 + Number));
  CHECK_FALSE(Reach.isLost(Start + AnswerTime));
  // They stay silent for good; a cut that follows is noticed all the same.
  auto Cut = Start + std::chrono::seconds(10);
  for (int Number = 0; Number < 4; ++Number)
    Reach.asked(VmId("up-" + std::to_string(Number)), Cut);
  CHECK(Reach.isLost(Cut + AnswerTime));
}

TEST_CASE("further questions don't begin the wait anew") {
  // Guards against a busy daemon that never finds itself alone.
  PeerReach Reach = asked(3);
  Reach.asked(VmId("0"), Start + milliseconds(90));
  Reach.asked(VmId("9"), Start + milliseconds(95));
  CHECK(Reach.isLost(Start + AnswerTime));
}
