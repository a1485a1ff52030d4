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

TEST_CASE("of many processes that vanish a few are logged, by those that heard "
          "them last") {
  // Guards against a fleet's restart that fills its log with lines that tell
  // nothing.
  boost::asio::io_context Control{1};
  tests::LogCapture Log;
  MemberLog Members(Control);
  const TimePoint Now{std::chrono::seconds(1000)};
  ProcessEnd End;
  Members.vanished(VmId("unheard"), End, Now);
  End.SilenceEnd_ = SilenceEnd::Noticed;
  End.Silence_ = std::chrono::milliseconds(2001);
  Members.vanished(VmId("long-silent"), End, Now);
  CHECK(Log.text().empty());
  End.SilenceEnd_ = SilenceEnd::LinkDown;
  for (int Index = 0; Index < 150; ++Index)
    Members.vanished(VmId(fmt::format("vm-{}", Index)), End, Now);
  CHECK(Log.count(R"("event":"member-vanished")") == 5);
  CHECK(Log.count(R"("silence_until":"link-down","silence_ms":"2001")") == 5);
  Members.vanished(VmId("next"), End, Now + std::chrono::seconds(1));
  CHECK(Log.count(R"("member":"next","dropped":"145")") == 1);
}
