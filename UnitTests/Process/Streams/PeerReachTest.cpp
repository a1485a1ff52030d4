#include "Process/Streams/PeerReach.h"

#include <doctest/doctest.h>

using namespace samphireshunt;
using std::chrono::milliseconds;

namespace {

constexpr TimePoint Start{std::chrono::seconds(1000)};
constexpr milliseconds AnswerTime{100};

PeerReach asked(int Count) {
  PeerReach Reach({.MinAsked_ = 3, .AnswerTime_ = AnswerTime});
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
  Reach.heard();
  CHECK_FALSE(Reach.isLost(Start + AnswerTime));
  auto Again = Start + milliseconds(500);
  for (const char *To : {"0", "1", "2"})
    Reach.asked(VmId(To), Again);
  CHECK_FALSE(Reach.isLost(Again + AnswerTime - milliseconds(1)));
  CHECK(Reach.isLost(Again + AnswerTime));
}

TEST_CASE("further questions don't begin the wait anew") {
  // Guards against a busy daemon that never finds itself alone.
  PeerReach Reach = asked(3);
  Reach.asked(VmId("0"), Start + milliseconds(90));
  Reach.asked(VmId("9"), Start + milliseconds(95));
  CHECK(Reach.isLost(Start + AnswerTime));
}
