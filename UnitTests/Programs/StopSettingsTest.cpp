#include "Programs/StopSettings.h"

#include <doctest/doctest.h>

using namespace samphireshunt;
using std::chrono::milliseconds;

TEST_CASE("the times of a stop follow from the supervisor's grace") {
  // Guards against processes that are killed before they have answered.
  StopSettings Eight{milliseconds(2600), milliseconds(400), milliseconds(2800),
                     milliseconds(7400)};
  CHECK(stopWithin(milliseconds(8000)) == Eight);
  for (int Grace = 1000; Grace <= 600000; Grace += 100)
    CHECK(!misfit(stopWithin(milliseconds(Grace)), milliseconds(Grace)));
  // While balancers send, there is still time to serve what they send.
  StopSettings Minute = stopWithin(milliseconds(60000));
  CHECK(Minute.Admit_ == Eight.Admit_);
  CHECK(Minute.Timeout_ == milliseconds(59400));
}

TEST_CASE("times of a stop that don't fit in the grace are not accepted") {
  // Guards against explicit times that were made for another grace.
  StopSettings Times = stopWithin(milliseconds(8000));
  CHECK(!misfit(Times, milliseconds(7700)));
  CHECK(misfit(Times, milliseconds(7699)));
  Times.Admit_ = milliseconds(7401);
  CHECK(misfit(Times, milliseconds(8000)));
  Times = stopWithin(milliseconds(8000));
  Times.Delay_ = milliseconds(7001);
  CHECK(misfit(Times, milliseconds(8000)));
}
