#include "Process/Scheduling/EngineSpeed.h"

#include <doctest/doctest.h>

using namespace samphireshunt;
using std::chrono::milliseconds;

namespace {

milliseconds millisUntilFirstToken(const EngineSpeed &Speed,
                                   std::int64_t Unread) {
  return std::chrono::duration_cast<milliseconds>(
      Speed.timeToFirstToken(Tokens(Unread)));
}

/// \returns the speed of an engine whose first tokens come after 40 ms plus \p
/// MicrosPerToken for each token.
EngineSpeed measuredSpeed(int MicrosPerToken) {
  EngineSpeed Speed;
  for (std::int64_t Unread : {200, 400, 900, 1600, 3000, 500, 2500, 1200})
    Speed.firstToken(Tokens(Unread), std::chrono::microseconds(
                                         40000 + MicrosPerToken * Unread));
  return Speed;
}

} // namespace

TEST_CASE(
    "the fixed time of a first token is separated from the reading time") {
  // Guards against dividing the whole delay by the number of tokens. With short
  // prompts, most of the delay is the fixed 40 ms, so 15 and 44 us per token
  // look like 95 and 124. Long prompts then go to engines that take three times
  // as long.
  CHECK(millisUntilFirstToken(measuredSpeed(15), 10000).count() ==
        doctest::Approx(190).epsilon(0.02));
  CHECK(millisUntilFirstToken(measuredSpeed(44), 10000).count() ==
        doctest::Approx(480).epsilon(0.02));
}

TEST_CASE("with prompts of one length the whole delay counts for the tokens") {
  EngineSpeed Speed;
  for (int Count = 0; Count < 10; ++Count)
    Speed.firstToken(Tokens(1000), milliseconds(100));
  CHECK(millisUntilFirstToken(Speed, 1000).count() ==
        doctest::Approx(100).epsilon(0.02));
  CHECK(millisUntilFirstToken(Speed, 2000).count() ==
        doctest::Approx(200).epsilon(0.02));
}

TEST_CASE("answers of one event do not change the time between tokens") {
  // No time passes after the only event of an answer. Guards against taking an
  // engine that just gave a few short answers for the fastest of all.
  EngineSpeed Speed;
  Speed.stream(Tokens(100), milliseconds(800));
  for (int Count = 0; Count < 20; ++Count)
    Speed.stream(Tokens(0), milliseconds(0));
  CHECK(Speed.timeBetweenTokens() == milliseconds(8));
}

TEST_CASE(
    "an engine that slows down is recognized within some thousand tokens") {
  EngineSpeed Speed;
  Speed.stream(Tokens(5000), milliseconds(15000));
  CHECK(Speed.timeBetweenTokens() == milliseconds(3));
  for (int Count = 0; Count < 5; ++Count)
    Speed.stream(Tokens(400), milliseconds(6000));
  CHECK(Speed.timeBetweenTokens() > milliseconds(10));
}

TEST_CASE("a new engine is assumed to be like its pool until it is measured") {
  EngineSpeed Pool = measuredSpeed(44);
  Pool.stream(Tokens(1000), milliseconds(8000));
  EngineSpeed Fresh;
  CHECK_FALSE(Fresh.known());
  Fresh.assume(Pool);
  CHECK(Fresh.known());
  CHECK(millisUntilFirstToken(Fresh, 3000).count() ==
        doctest::Approx(172).epsilon(0.05));
  for (std::int64_t Unread : {200, 400, 900, 1600, 3000, 500, 2500, 1200, 700,
                              2000, 300, 2800, 1500, 800, 1000, 2200})
    Fresh.firstToken(Tokens(Unread),
                     std::chrono::microseconds(40000 + 15 * Unread));
  CHECK(millisUntilFirstToken(Fresh, 3000).count() < 120);
}
