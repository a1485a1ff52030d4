#include "Process/Membership/MemberTable.h"

#include <doctest/doctest.h>

#include <vector>

using namespace samphireshunt;
using std::chrono::milliseconds;

namespace {

const TimePoint Start{std::chrono::seconds(1000)};
constexpr Incarnation Earlier(1);
constexpr Incarnation Own(2);
constexpr ProcessHealth Tight{97, milliseconds(40)};

Member member(const std::string &Name, Incarnation Process) {
  Member Built;
  Built.Id_ = VmId(Name);
  Built.Incarnation_ = Process;
  return Built;
}

ProcessEnd report(SilenceEnd Until, milliseconds Silence, bool Left = false) {
  return {Earlier, Left, Until, Silence, Tight};
}

} // namespace

TEST_CASE("the silence of a process ends with its links") {
  // Guards against a process that was killed at work and seems to have stood
  // still, because its successor took a while to start.
  ProcessTrace Trace;
  Trace.heard(Tight, Start);
  Trace.heardOnLink(Start + milliseconds(700));
  Trace.linkEnded(Start + milliseconds(710));
  Trace.linkEnded(Start + milliseconds(720));
  // A successor's message, on a link of its own.
  Trace.heardOnLink(Start + milliseconds(1900));
  CHECK(Trace.end(Earlier, false, Start + milliseconds(2000)) ==
        report(SilenceEnd::LinkDown, milliseconds(10)));
}

TEST_CASE("a process that stood still is told apart from one at work") {
  // Guards against the loss of the one trace that a stalled process leaves.
  ProcessTrace Trace;
  Trace.heardOnLink(Start);
  Trace.linkEnded(Start + milliseconds(2500));
  ProcessEnd End = Trace.end(Earlier, false, Start + milliseconds(4000));
  CHECK(End.SilenceEnd_ == SilenceEnd::LinkDown);
  CHECK(End.Silence_ == milliseconds(2500));
}

TEST_CASE("a datagram in flight does not hide the end of a link") {
  // Guards against an end that is missed since its last message was read late.
  ProcessTrace Trace;
  Trace.heardOnLink(Start);
  Trace.linkEnded(Start + milliseconds(20));
  Trace.heard(Tight, Start + milliseconds(30));
  CHECK(Trace.end(Earlier, false, Start + milliseconds(1500)) ==
        report(SilenceEnd::LinkDown, milliseconds(20)));
}

TEST_CASE("a process that outlives a link is not taken for ended with it") {
  // Guards against a link that broke long before the process.
  ProcessTrace Trace;
  Trace.heardOnLink(Start);
  Trace.linkEnded(Start + milliseconds(20));
  Trace.heard(Tight, Start + milliseconds(600));
  CHECK(Trace.end(Earlier, false, Start + milliseconds(1500)) ==
        report(SilenceEnd::Noticed, milliseconds(900)));
  CHECK(ProcessTrace().end(Earlier, false, Start).SilenceEnd_ ==
        SilenceEnd::Unknown);
}

TEST_CASE("a stall is known for a while") {
  // Guards against a stall of hours ago in the line of a process that ends now.
  LongestStall Stall;
  Stall.record(milliseconds(300), Start);
  Stall.record(milliseconds(200), Start + milliseconds(5000));
  CHECK(Stall.get(Start + milliseconds(9000)) == milliseconds(300));
  CHECK(Stall.get(Start + milliseconds(10001)) == milliseconds(0));
  Stall.record(milliseconds(60), Start + milliseconds(11000));
  CHECK(Stall.get(Start + milliseconds(11000)) == milliseconds(60));
}

TEST_CASE("a successor believes whoever knows most") {
  // Guards against a process at work that seems stalled, or a stop that seems a
  // crash, because one of the others heard little of it.
  PreviousProcess Previous(Own, Start);
  CHECK_FALSE(Previous.end());
  Previous.onReport(VmId("a"), report(SilenceEnd::Noticed, milliseconds(1)),
                    Start);
  Previous.onReport(VmId("b"), report(SilenceEnd::LinkDown, milliseconds(900)),
                    Start);
  Previous.onReport(VmId("c"), report(SilenceEnd::LinkDown, milliseconds(30)),
                    Start);
  CHECK(Previous.end() == report(SilenceEnd::LinkDown, milliseconds(30)));
  Previous.onReport(VmId("d"), report(SilenceEnd::Unknown, {}, true), Start);
  CHECK(Previous.end() == report(SilenceEnd::LinkDown, milliseconds(30), true));
  ProcessEnd OfOwn = report(SilenceEnd::LinkDown, milliseconds(0));
  OfOwn.Incarnation_ = Own;
  Previous.onReport(VmId("e"), OfOwn, Start);
  CHECK(Previous.end()->Incarnation_ == Earlier);
}

TEST_CASE("a successor sums up once what the others know") {
  // Guards against a line before the answers, none at all, or one a report.
  PreviousProcess Alone(Own, Start);
  CHECK_FALSE(Alone.takeSummary(Start + milliseconds(14999)));
  auto Nothing = Alone.takeSummary(Start + milliseconds(15000));
  REQUIRE(Nothing);
  CHECK_FALSE(Nothing->End_);
  PreviousProcess Told(Own, Start);
  Told.onReport(VmId("a"), report(SilenceEnd::Noticed, milliseconds(1)), Start);
  CHECK_FALSE(Told.takeSummary(Start + milliseconds(999)));
  auto Summary = Told.takeSummary(Start + milliseconds(1000));
  REQUIRE(Summary);
  CHECK(Summary->End_);
  CHECK(Summary->Reporters_ == 1);
  CHECK_FALSE(Told.takeSummary(Start + milliseconds(2000)));
}

TEST_CASE("a table reports each end of a process once, and tells the new one") {
  // Guards against an end that only its batch of status changes shows.
  for (bool Left : {false, true}) {
    CAPTURE(Left);
    MemberTable Table(member("self", Earlier), {});
    std::vector<ProcessEnd> Vanished;
    Table.onVanished([&](const VmId &Id, const ProcessEnd &End) {
      CHECK(Id == VmId("vm-1"));
      Vanished.push_back(End);
    });
    Member Before = member("vm-1", Earlier);
    Table.merge(Before, Start);
    Table.heard(Before, Tight, Start);
    CHECK(Table.healthOf(VmId("vm-1")) == Tight);
    Before.Counter_ = 1;
    Before.Status_ = Left ? MemberStatus::Leaving : MemberStatus::Alive;
    Table.merge(Before, Start);
    Table.linkEnded(VmId("vm-1"), Start + milliseconds(10));
    Table.suspect(VmId("vm-1"), Start + milliseconds(1000));
    Table.tick(Start + milliseconds(5000));
    CHECK_FALSE(Table.previousEnd(VmId("vm-1"), Start + milliseconds(5000)));
    TimePoint Back = Start + milliseconds(6000);
    Table.merge(member("vm-1", Own), Back);
    // A datagram of the process before, which is read late.
    Table.heard(Before, Tight, Back);
    ProcessEnd Expected = report(SilenceEnd::LinkDown, milliseconds(10), Left);
    CHECK(Vanished == (Left ? std::vector<ProcessEnd>()
                            : std::vector<ProcessEnd>{Expected}));
    CHECK(Table.previousEnd(VmId("vm-1"), Back) == Expected);
    CHECK(Table.healthOf(VmId("vm-1")) == ProcessHealth());
    CHECK_FALSE(Table.previousEnd(VmId("vm-1"), Back + milliseconds(10001)));
  }
}
