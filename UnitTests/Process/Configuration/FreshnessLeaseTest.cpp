#include "Process/Configuration/FreshnessLease.h"

#include <doctest/doctest.h>

using namespace samphireshunt;
using std::chrono::seconds;

namespace {
constexpr BootTime Start{seconds(1000)};
} // namespace

TEST_CASE("the lease is not valid before the first read") {
  CHECK_FALSE(FreshnessLease(seconds(5)).valid(Start));
  CHECK_FALSE(FreshnessLease(seconds(0)).valid(Start));
}

TEST_CASE("a pause longer than the lease ends it, although an answer is read "
          "after the pause") {
  // A watch is sent and answered, but a frozen process does not read the
  // answer; meanwhile a key is revoked. When the process resumes and reads the
  // old answer, a lease counted from the time of reading would let the key work
  // for seconds more.
  FreshnessLease Lease(seconds(5));
  BootTime Sent = Start;
  BootTime Woken = Start + seconds(6);
  Lease.renew(Sent);
  CHECK_FALSE(Lease.valid(Woken));
  Lease.renew(Woken);
  CHECK(Lease.valid(Woken + seconds(4)));
}

TEST_CASE("a late answer does not shorten the lease") {
  FreshnessLease Lease(seconds(5));
  Lease.renew(Start + seconds(3));
  Lease.renew(Start);
  CHECK(Lease.valid(Start + seconds(7)));
  CHECK(Lease.age(Start + seconds(7)) == seconds(4));
}

TEST_CASE("without a duration the lease stays valid after the first read") {
  FreshnessLease Lease(seconds(0));
  Lease.renew(Start);
  CHECK(Lease.valid(Start + std::chrono::hours(1)));
}

TEST_CASE("a configuration is overdue once a newer one has been known for the "
          "bound, and not before") {
  FreshnessLease Lease(seconds(5), seconds(2));
  CHECK_FALSE(Lease.overdue(Start));
  Lease.newerKnown(Start + seconds(1));
  Lease.newerKnown(Start);
  Lease.newerKnown(Start + seconds(2));
  CHECK(Lease.behind(Start + seconds(1)) == seconds(1));
  CHECK_FALSE(Lease.overdue(Start + seconds(1)));
  CHECK(Lease.overdue(Start + seconds(2)));
  Lease.newestActive();
  CHECK_FALSE(Lease.overdue(Start + seconds(9)));
  CHECK(Lease.behind(Start + seconds(9)) == seconds(0));
}

TEST_CASE("without an apply bound no configuration is overdue") {
  FreshnessLease Lease(seconds(5));
  Lease.newerKnown(Start);
  CHECK_FALSE(Lease.overdue(Start + seconds(9)));
}

TEST_CASE("confirmations far apart leave open what there was in between") {
  // Guards against an older answer, or one that was sent within the gap, that
  // hides it.
  FreshnessLease Lease(seconds(5), seconds(0), seconds(4));
  CHECK(Lease.unbrokenSince() == BootTime());
  Lease.renew(Start);
  Lease.renew(Start + seconds(4));
  Lease.renew(Start + seconds(1));
  CHECK(Lease.unbrokenSince() == Start);
  Lease.renew(Start + seconds(9));
  Lease.renew(Start + seconds(6));
  CHECK(Lease.unbrokenSince() == Start + seconds(9));
}
