#include "Process/Scheduling/AllotmentLedger.h"

#include <doctest/doctest.h>

using namespace samphireshunt;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr AllotmentLedger::TimePoint Start{seconds(1000)};
const CustomerName Hot("hot");

Allotment hundredPerSecond() {
  Allotment Allowed;
  Allowed.PerSecond_ = 100;
  Allowed.Burst_ = 100;
  return Allowed;
}

/// \returns the cost admitted for a customer that requests ten units every ten
/// milliseconds.
double flood(AllotmentLedger &Ledger, AllotmentLedger::TimePoint From,
             milliseconds Length, double Share = 1) {
  double Admitted = 0;
  std::uint64_t Sequence = 0;
  for (milliseconds Passed{0}; Passed < Length; Passed += milliseconds(10)) {
    RequestId Id{1, ++Sequence};
    if (!Ledger.charge({Id, Hot, 10}, hundredPerSecond(), Share, From + Passed))
      continue;
    Ledger.commit(Id);
    Admitted += 10;
  }
  return Admitted;
}

} // namespace

TEST_CASE("a flood gets its rate, its burst and the credit, and no more") {
  AllotmentLedger Ledger({.Credit_ = 50}, Start);
  double Admitted = flood(Ledger, Start + seconds(10), seconds(8));
  CHECK(Admitted <= 100 * 8 + 100 + 50);
  CHECK(Admitted >= 100 * 8 + 100);
}

TEST_CASE("a change of keepers adds nothing but the rate") {
  // A customer uses its burst, and then all daemons are killed. Guards against
  // a new keeper that assumes that nothing was used before: it would admit a
  // second burst, more than the allotment within a window.
  AllotmentLedger Before({.Credit_ = 50}, Start - seconds(10));
  double Admitted = flood(Before, Start, seconds(4));
  AllotmentLedger After({.Credit_ = 50}, Start + seconds(4));
  Admitted += flood(After, Start + seconds(4), seconds(4));
  CHECK(Admitted <= 100 * 8 + 100 + 50);
}

TEST_CASE("a keeper that returns from a cut finds no second burst") {
  // Guards against a customer that gets two bursts within a window: one from
  // the keeper during the cut, and one from that of before, whose buckets have
  // filled meanwhile.
  constexpr double OfEight = 0.125;
  const Allotment Allowed = hundredPerSecond();
  AllotmentLedger First({.Credit_ = 0}, Start - seconds(10));
  AllotmentLedger Meanwhile({.Credit_ = 0}, Start);
  SUBCASE("whose customer used it before") {
    flood(First, Start - seconds(1), seconds(1));
    First.changeShare(Hot, Allowed, 1, OfEight, Start);
  }
  SUBCASE("whose customer is new to it") {
    First.changeShare(Hot, Allowed, 1, OfEight, Start);
  }
  SUBCASE("that has begun to count anew meanwhile") {
    flood(First, Start - seconds(1), seconds(1));
    First.changeShare(Hot, Allowed, 1, OfEight, Start);
    First.restart(Start + seconds(1));
  }
  SUBCASE("to which its customer came during the cut") { First.restart(Start); }
  double Admitted =
      flood(Meanwhile, Start + seconds(5), seconds(1), 1 - OfEight);
  First.changeShare(Hot, Allowed, OfEight, 1, Start + seconds(6));
  Admitted += flood(First, Start + seconds(6), seconds(7));
  CHECK(Admitted <= 100 * 8 + 100);
  CHECK(Admitted >= 100 * 8);
}

TEST_CASE("keepers on both sides of a partition share the allotment") {
  AllotmentLedger Left({.Credit_ = 0}, Start);
  AllotmentLedger Right({.Credit_ = 0}, Start);
  double Admitted = flood(Left, Start, seconds(8), 0.4) +
                    flood(Right, Start, seconds(8), 0.6);
  CHECK(Admitted <= 100 * 8 + 100);
}

TEST_CASE("a request that is not granted does not count") {
  AllotmentLedger Ledger({.Credit_ = 0}, Start - seconds(1));
  CHECK(Ledger.charge({{1, 1}, Hot, 100}, hundredPerSecond(), 1, Start));
  CHECK_FALSE(Ledger.charge({{1, 2}, Hot, 100}, hundredPerSecond(), 1, Start));
  Ledger.refund({1, 1});
  CHECK(Ledger.charge({{1, 2}, Hot, 100}, hundredPerSecond(), 1, Start));
  Ledger.commit({1, 2});
  Ledger.refund({1, 2});
  CHECK_FALSE(Ledger.charge({{1, 3}, Hot, 100}, hundredPerSecond(), 1, Start));
}

TEST_CASE("the tolerance within a window is used, and not exceeded") {
  // The same flood with a tolerance of a tenth and 500 more, and with a change
  // of keepers in the middle of it.
  constexpr double Tolerated = (100 * 8 + 100) * 1.1 + 500;
  AllotmentLedger Steady({.Overrun_ = 0.1, .Credit_ = 500}, Start);
  CHECK(flood(Steady, Start + seconds(20), seconds(8)) > 1200);
  AllotmentLedger Before({.Overrun_ = 0.1, .Credit_ = 500}, Start);
  double Admitted = flood(Before, Start + seconds(20), seconds(4));
  AllotmentLedger After({.Overrun_ = 0.1, .Credit_ = 500}, Start + seconds(24));
  Admitted += flood(After, Start + seconds(24), seconds(4));
  CHECK(Admitted <= Tolerated);
}

TEST_CASE("a customer without an allotment is not counted") {
  AllotmentLedger Ledger({.Credit_ = 0}, Start);
  CHECK(Ledger.charge({{1, 1}, Hot, 1e9}, Allotment(), 1, Start));
}

TEST_CASE("small requests of a low tier leave room for large ones of a high "
          "one") {
  // Guards against small requests that use up the allotment: one in four of the
  // customer's requests of the highest tier was then refused, and hardly one of
  // the lowest, while engines were idle.
  //
  // The lowest of three tiers sends a request of 20 forty times a second, the
  // highest one of 70 twice a second. 100 a second and a burst of 200 are
  // allotted, and 500 more are tolerated within the window.
  AllotmentLedger Ledger({.Credit_ = 500}, Start);
  Allotment Allowed = hundredPerSecond();
  Allowed.Burst_ = 200;
  int Large = 0;
  int LargeAdmitted = 0;
  double Admitted = 0;
  for (std::uint64_t Step = 0; Step < 800; ++Step) {
    auto Now = Start + seconds(20) + milliseconds(25) * Step;
    AllotmentLedger::Charge Small{{1, Step}, Hot, 20, true};
    if (Ledger.charge(Small, Allowed, 1, Now))
      Admitted += 20;
    Ledger.commit(Small.Id_);
    if (Step % 20 != 10)
      continue;
    AllotmentLedger::Charge HighTier{{2, Step}, Hot, 70, false};
    ++Large;
    if (Ledger.charge(HighTier, Allowed, 1, Now)) {
      ++LargeAdmitted;
      Admitted += 70;
    }
    Ledger.commit(HighTier.Id_);
  }
  CHECK(LargeAdmitted > 0.6 * Large);
  CHECK(Admitted <= 100 * 20 + 200 + 500 * 20 / 8);
}

TEST_CASE("a refused request gets the time after which it would fit") {
  AllotmentLedger Ledger({.Credit_ = 0}, Start - seconds(1));
  CHECK(Ledger.charge({{1, 1}, Hot, 100}, hundredPerSecond(), 1, Start));
  AllotmentLedger::Charge Next{{1, 2}, Hot, 50};
  CHECK_FALSE(Ledger.charge(Next, hundredPerSecond(), 1, Start));
  CHECK(Ledger.timeUntilFit(Next, hundredPerSecond(), 1) == milliseconds(500));
  Next.Cost_ = 500;
  CHECK(Ledger.timeUntilFit(Next, hundredPerSecond(), 1) == milliseconds(8000));
}

// Guards against a keeper with a small share that never admits a large request.
TEST_CASE("a request larger than its bucket takes from both, and no more "
          "than is tolerated") {
  constexpr int Keepers = 8;
  constexpr double Share = 1.0 / Keepers;
  constexpr double Cost = 30;
  constexpr double Tolerated = (100 * 8 + 100) * 1.1 + 500;
  double Admitted = 0;
  for (int Keeper = 0; Keeper < Keepers; ++Keeper) {
    AllotmentLedger Ledger({.Overrun_ = 0.1, .Credit_ = 500}, Start);
    int Granted = 0;
    for (std::uint64_t Step = 0; Step < 800; ++Step) {
      AllotmentLedger::Charge Large{{1, Step}, Hot, Cost, false};
      auto Now = Start + seconds(20) + milliseconds(10) * Step;
      Granted += Ledger.charge(Large, hundredPerSecond(), Share, Now);
      Ledger.commit(Large.Id_);
    }
    CHECK(Granted >= 2);
    Admitted += Cost * Granted;
  }
  CHECK(Admitted <= Tolerated);
}

// Guards against a refund of a charge on two buckets that is missing from one
// of them.
TEST_CASE("a large request that is not granted is refunded to both buckets") {
  AllotmentLedger Ledger({.Credit_ = 500}, Start);
  auto Now = Start + seconds(20);
  AllotmentLedger::Charge Large{{1, 1}, Hot, 220, false};
  CHECK(Ledger.charge(Large, hundredPerSecond(), 1, Now));
  Large.Id_ = {1, 2};
  CHECK_FALSE(Ledger.charge(Large, hundredPerSecond(), 1, Now));
  Ledger.refund({1, 1});
  CHECK(Ledger.charge(Large, hundredPerSecond(), 1, Now));
}

// Guards against callers with a request larger than a bucket that are told to
// retry too early, or never.
TEST_CASE(
    "a refused request larger than its bucket gets the time after which it "
    "would fit") {
  AllotmentLedger Ledger({.Credit_ = 500}, Start);
  auto Now = Start + seconds(20);
  AllotmentLedger::Charge Large{{1, 1}, Hot, 220, false};
  REQUIRE(Ledger.charge(Large, hundredPerSecond(), 1, Now));
  Ledger.commit(Large.Id_);
  Large.Id_ = {1, 2};
  CHECK_FALSE(Ledger.charge(Large, hundredPerSecond(), 1, Now));
  auto Wait = Ledger.timeUntilFit(Large, hundredPerSecond(), 1);
  CHECK_FALSE(Ledger.charge(Large, hundredPerSecond(), 1,
                            Now + Wait - milliseconds(5)));
  CHECK(Ledger.charge(Large, hundredPerSecond(), 1,
                      Now + Wait + milliseconds(5)));
}
