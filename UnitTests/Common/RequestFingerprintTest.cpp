/// \file
/// The fingerprint by which a request is known under other ids.

#include "Common/RequestFingerprint.h"

#include <doctest/doctest.h>

using namespace samphireshunt;

TEST_CASE("requests share a fingerprint only if all of its parts are equal") {
  // Guards against a caller who is refused because of another one's request.
  const FingerprintParts One{"POST", "h", "/p", "customer", "body"};
  CHECK(fingerprintOf(One) == fingerprintOf(One));
  CHECK(fingerprintOf(One).str().size() == 32);
  for (auto Part : {&FingerprintParts::Method_, &FingerprintParts::Host_,
                    &FingerprintParts::Target_, &FingerprintParts::Customer_,
                    &FingerprintParts::Body_}) {
    FingerprintParts Other = One;
    Other.*Part = "x";
    CHECK(fingerprintOf(Other) != fingerprintOf(One));
  }
  // The end of one part is not the start of the next.
  CHECK(fingerprintOf({"POST", "h", "/p", "ab", "c"}) !=
        fingerprintOf({"POST", "h", "/p", "a", "bc"}));
}
