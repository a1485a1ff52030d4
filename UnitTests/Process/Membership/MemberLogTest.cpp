#include "Process/Membership/MemberLog.h"

#include "UnitTests/LogCapture.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace samphireshunt;

TEST_CASE("changes of hundreds of members are logged in one line per status") {
  // If half of a fleet dies at once, and each daemon logs a line per member,
  // status changes would be most of the fleet's log just when something fails.
  boost::asio::io_context Control{1};
  tests::LogCapture Log;
  MemberLog Members(Control);
  for (int Index = 0; Index < 150; ++Index) {
    Member Changed;
    Changed.Id_ = VmId(fmt::format("vm-{}", Index));
    Changed.Status_ = Index < 140 ? MemberStatus::Dead : MemberStatus::Alive;
    Members.changed(Changed);
  }
  CHECK(Log.text().empty());
  Control.run();
  CHECK(Log.count(R"("event":"members")") == 2);
  CHECK(Log.count(R"("status":"dead","count":"140","members":"vm-0,vm-1,)") ==
        1);
  CHECK(Log.count("vm-149") == 1);
}
