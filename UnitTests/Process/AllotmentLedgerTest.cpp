#include "Process/AllotmentLedger.h"

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

/// What a customer gets through that asks for ten units every ten ms.
double flood(AllotmentLedger &Ledger, AllotmentLedger::TimePoint From,
             milliseconds Length, double Share = 1) {
  double Through = 0;
  std::uint64_t Sequence = 0;
  for (milliseconds Passed{0}; Passed < Length; Passed += milliseconds(10)) {
    RequestId Id{1, ++Sequence};
    if (!Ledger.take(Id, Hot, hundredPerSecond(), 10, Share, From + Passed))
      continue;
    Ledger.used(Id);
    Through += 10;
  }
  return Through;
}

} // namespace

TEST_CASE("a flood gets its rate, its burst and the credit, and no more") {
  AllotmentLedger Ledger({.Credit_ = 50}, Start);
  double Through = flood(Ledger, Start + seconds(10), seconds(8));
  CHECK(Through <= 100 * 8 + 100 + 50);
  CHECK(Through >= 100 * 8 + 100);
}

TEST_CASE("keepers that change add nothing but the rate") {
  // Symptom: a customer got more than its allotment within a window.
  // Sequence: it uses its burst; all daemons are killed; the new keeper lets it
  // use its burst again.
  // Cause: a new keeper took it that nothing was used before it.
  AllotmentLedger Before({.Credit_ = 50}, Start - seconds(10));
  double Through = flood(Before, Start, seconds(4));
  AllotmentLedger After({.Credit_ = 50}, Start + seconds(4));
  Through += flood(After, Start + seconds(4), seconds(4));
  CHECK(Through <= 100 * 8 + 100 + 50);
}

TEST_CASE("keepers on both sides of a partition share the allotment") {
  AllotmentLedger Left({.Credit_ = 0}, Start);
  AllotmentLedger Right({.Credit_ = 0}, Start);
  double Through = flood(Left, Start, seconds(8), 0.4) +
                   flood(Right, Start, seconds(8), 0.6);
  CHECK(Through <= 100 * 8 + 100);
}

TEST_CASE("a request that is not granted does not count") {
  AllotmentLedger Ledger({.Credit_ = 0}, Start - seconds(1));
  CHECK(Ledger.take({1, 1}, Hot, hundredPerSecond(), 100, 1, Start));
  CHECK_FALSE(Ledger.take({1, 2}, Hot, hundredPerSecond(), 100, 1, Start));
  Ledger.giveBack({1, 1});
  CHECK(Ledger.take({1, 2}, Hot, hundredPerSecond(), 100, 1, Start));
  Ledger.used({1, 2});
  Ledger.giveBack({1, 2});
  CHECK_FALSE(Ledger.take({1, 3}, Hot, hundredPerSecond(), 100, 1, Start));
}

TEST_CASE("what is tolerated within a window is given out, and not exceeded") {
  // The same flood, where a tenth and 500 more are tolerated, and a change of
  // keepers in the middle of it.
  constexpr double Tolerated = (100 * 8 + 100) * 1.1 + 500;
  AllotmentLedger Steady({.Overrun_ = 0.1, .Credit_ = 500}, Start);
  CHECK(flood(Steady, Start + seconds(20), seconds(8)) > 1200);
  AllotmentLedger Before({.Overrun_ = 0.1, .Credit_ = 500}, Start);
  double Through = flood(Before, Start + seconds(20), seconds(4));
  AllotmentLedger After({.Overrun_ = 0.1, .Credit_ = 500}, Start + seconds(24));
  Through += flood(After, Start + seconds(24), seconds(4));
  CHECK(Through <= Tolerated);
}

TEST_CASE("a customer without an allotment is not counted") {
  AllotmentLedger Ledger({.Credit_ = 0}, Start);
  CHECK(Ledger.take({1, 1}, Hot, Allotment(), 1e9, 1, Start));
}
