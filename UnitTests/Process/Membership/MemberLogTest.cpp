#include "Process/Membership/MemberLog.h"

#include "UnitTests/LogCapture.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace samphireshunt;

TEST_CASE("changes of hundreds of members are a line for each status") {
  // Symptom: most of what a fleet writes are views of its members, in the very
  // seconds in which something went wrong.
  // Sequence: half of a fleet dies at once.
  // Cause: each daemon wrote a line for each of the others.
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
