#include "Process/Scheduling/EngineSpeed.h"

#include <doctest/doctest.h>

using namespace samphireshunt;
using std::chrono::milliseconds;

namespace {

milliseconds untilFirst(const EngineSpeed &Speed, std::int64_t Unread) {
  return std::chrono::duration_cast<milliseconds>(
      Speed.untilFirstToken(Tokens(Unread)));
}

/// First tokens after 40 ms and so many microseconds a token.
EngineSpeed reading(int MicrosPerToken) {
  EngineSpeed Speed;
  for (std::int64_t Unread : {200, 400, 900, 1600, 3000, 500, 2500, 1200})
    Speed.firstToken(Tokens(Unread), std::chrono::microseconds(
                                         40000 + MicrosPerToken * Unread));
  return Speed;
}

} // namespace

TEST_CASE("the fixed part of a first token is told from that of its prompt") {
  // Symptom: long prompts are read on engines that take three times as long.
  // Sequence: engines answer short prompts, mostly within the fixed 40 ms.
  // Cause: the delay was divided by the tokens: 15 and 44 us a token looked
  // like 95 and 124.
  CHECK(untilFirst(reading(15), 10000).count() ==
        doctest::Approx(190).epsilon(0.02));
  CHECK(untilFirst(reading(44), 10000).count() ==
        doctest::Approx(480).epsilon(0.02));
}

TEST_CASE("prompts of one length count whole for their tokens") {
  EngineSpeed Speed;
  for (int Count = 0; Count < 10; ++Count)
    Speed.firstToken(Tokens(1000), milliseconds(100));
  CHECK(untilFirst(Speed, 1000).count() == doctest::Approx(100).epsilon(0.02));
  CHECK(untilFirst(Speed, 2000).count() == doctest::Approx(200).epsilon(0.02));
}

TEST_CASE("answers of one event say nothing of the time between tokens") {
  // Symptom: an engine that just gave a few short answers is taken for the
  // quickest of all.
  // Cause: no time passes after the only event of an answer.
  EngineSpeed Speed;
  Speed.stream(Tokens(100), milliseconds(800));
  for (int Count = 0; Count < 20; ++Count)
    Speed.stream(Tokens(0), milliseconds(0));
  CHECK(Speed.betweenTokens() == milliseconds(8));
}

TEST_CASE("an engine that slows down is believed within some thousand tokens") {
  EngineSpeed Speed;
  Speed.stream(Tokens(5000), milliseconds(15000));
  CHECK(Speed.betweenTokens() == milliseconds(3));
  for (int Count = 0; Count < 5; ++Count)
    Speed.stream(Tokens(400), milliseconds(6000));
  CHECK(Speed.betweenTokens() > milliseconds(10));
}

TEST_CASE("a new engine is assumed to be like its pool until it shows more") {
  EngineSpeed Pool = reading(44);
  Pool.stream(Tokens(1000), milliseconds(8000));
  EngineSpeed Fresh;
  CHECK_FALSE(Fresh.known());
  Fresh.assume(Pool);
  CHECK(Fresh.known());
  CHECK(untilFirst(Fresh, 3000).count() == doctest::Approx(172).epsilon(0.05));
  for (std::int64_t Unread : {200, 400, 900, 1600, 3000, 500, 2500, 1200, 700,
                              2000, 300, 2800, 1500, 800, 1000, 2200})
    Fresh.firstToken(Tokens(Unread),
                     std::chrono::microseconds(40000 + 15 * Unread));
  CHECK(untilFirst(Fresh, 3000).count() < 120);
}
