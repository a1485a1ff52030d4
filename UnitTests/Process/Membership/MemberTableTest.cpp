#include "Process/Membership/MemberTable.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

using namespace samphireshunt;
using std::chrono::milliseconds;

namespace {

const TimePoint Start{std::chrono::seconds(1000)};

Member member(const std::string &Name, std::uint64_t Process = 1) {
  Member Built;
  Built.Id_ = VmId(Name);
  Built.Incarnation_ = Incarnation(Process);
  return Built;
}

} // namespace

TEST_CASE("tables converge regardless of the order of updates") {
  bool Holds = rc::check([] {
    auto Updates = *rc::gen::container<std::vector<Member>>(rc::gen::apply(
        [](int Name, int Process, int Counter, int Status) {
          Member Built = member(std::string(1, static_cast<char>('a' + Name)),
                                static_cast<std::uint64_t>(Process));
          Built.Counter_ = static_cast<std::uint32_t>(Counter);
          Built.Status_ = static_cast<MemberStatus>(Status);
          return Built;
        },
        rc::gen::inRange(0, 3), rc::gen::inRange(1, 3), rc::gen::inRange(0, 3),
        rc::gen::inRange(0, 3)));
    MemberTable Forwards(member("self"), {});
    MemberTable Backwards(member("self"), {});
    for (const Member &Update : Updates)
      Forwards.merge(Update, Start);
    std::ranges::reverse(Updates);
    for (const Member &Update : Updates)
      Backwards.merge(Update, Start);
    RC_ASSERT(Forwards.others() == Backwards.others());
  });
  CHECK(Holds);
}

TEST_CASE("a daemon refutes its death with a higher counter") {
  // A live daemon would lose its cells and streams permanently if others
  // considered it dead after a pause: only the daemon itself can override the
  // claim when it resumes.
  MemberTable Resumed(member("vm-1"), {});
  MemberTable Other(member("vm-2"), {});
  Other.merge(Resumed.self(), Start);
  Other.suspect(VmId("vm-1"), Start);
  Other.tick(Start + milliseconds(1500));
  REQUIRE(Other.find(VmId("vm-1"))->Status_ == MemberStatus::Dead);
  Resumed.merge(*Other.find(VmId("vm-1")), Start);
  CHECK(Other.merge(Resumed.self(), Start));
  CHECK(Other.find(VmId("vm-1"))->Status_ == MemberStatus::Alive);
}

TEST_CASE("a new process on a VM replaces the dead one") {
  MemberTable Table(member("self"), {});
  Table.merge(member("vm-1", 1), Start);
  Table.suspect(VmId("vm-1"), Start);
  Table.tick(Start + milliseconds(2000));
  CHECK(Table.merge(member("vm-1", 2), Start));
  CHECK(Table.find(VmId("vm-1"))->Status_ == MemberStatus::Alive);
  CHECK_FALSE(Table.merge(member("vm-1", 1), Start));
}

TEST_CASE("a suspicion that is refuted in time does not lead to a death") {
  MemberTable Table(member("self"), {});
  Table.merge(member("vm-1"), Start);
  Table.suspect(VmId("vm-1"), Start);
  Member Refuted = member("vm-1");
  Refuted.Counter_ = 1;
  CHECK(Table.merge(Refuted, Start + milliseconds(500)));
  Table.tick(Start + milliseconds(5000));
  CHECK(Table.find(VmId("vm-1"))->Status_ == MemberStatus::Alive);
}

TEST_CASE("dead members lower the live share until the platform drops them") {
  MemberTable Table(member("self"), {});
  for (const char *Name : {"a", "b", "c"})
    Table.merge(member(Name), Start);
  CHECK(Table.liveShare() == doctest::Approx(1.0));
  Table.suspect(VmId("a"), Start);
  Table.tick(Start + milliseconds(2000));
  CHECK(Table.liveShare() == doctest::Approx(0.75));
  Table.forgetDead([](const VmId &) { return true; });
  CHECK(Table.liveShare() == doctest::Approx(0.75));
  Table.forgetDead([](const VmId &) { return false; });
  CHECK(Table.liveShare() == doctest::Approx(1.0));
}

TEST_CASE(
    "a leaving daemon schedules no cell, and members are probed as before") {
  MemberTable Table(member("self"), {});
  Table.merge(member("a"), Start);
  Table.leave();
  auto Keepers = Table.keepers();
  REQUIRE(Keepers.size() == 1);
  CHECK(Keepers[0].Id_ == VmId("a"));
  CHECK(Table.nextProbe()->Id_ == VmId("a"));
}

TEST_CASE("a probe round covers every member once, including dead ones") {
  MemberTable Table(member("self"), {});
  for (const char *Name : {"a", "b", "c", "d"})
    Table.merge(member(Name), Start);
  Table.suspect(VmId("b"), Start);
  Table.tick(Start + milliseconds(2000));
  std::vector<VmId> Probed;
  for (int Round = 0; Round < 4; ++Round)
    Probed.push_back(Table.nextProbe()->Id_);
  std::ranges::sort(Probed);
  CHECK(Probed == std::vector{VmId("a"), VmId("b"), VmId("c"), VmId("d")});
}

TEST_CASE("a suspicion is prolonged by a pause of this process") {
  // After a pause of the process, daemons that all run would be declared dead:
  // their suspicions expire before the refutations are read.
  MemberTable Table(member("self"), {});
  Table.merge(member("a"), Start);
  Table.suspect(VmId("a"), Start);
  Table.extendSuspicions(milliseconds(1000));
  Table.tick(Start + milliseconds(2400));
  CHECK(Table.find(VmId("a"))->Status_ == MemberStatus::Suspect);
  Table.tick(Start + milliseconds(2500));
  CHECK(Table.find(VmId("a"))->Status_ == MemberStatus::Dead);
}

TEST_CASE("in a small fleet each daemon probes all suspects, up to a limit") {
  MemberTable Table(member("self"), {});
  for (const char *Name : {"a", "b", "c", "d", "e"})
    Table.merge(member(Name), Start);
  CHECK(Table.suspectsToProbe().empty());
  Table.suspect(VmId("b"), Start);
  REQUIRE(Table.suspectsToProbe().size() == 1);
  CHECK(Table.suspectsToProbe().front().Id_ == VmId("b"));
  for (const char *Name : {"a", "c", "d", "e"})
    Table.suspect(VmId(Name), Start);
  CHECK(Table.suspectsToProbe().size() == 4);
}

TEST_CASE("a process that is replaced unannounced is told apart from a stop") {
  // Guards against a process that is killed for its memory and of whose end
  // nothing can be found: it writes nothing.
  for (bool Announced : {false, true})
    for (bool FoundDead : {false, true}) {
      CAPTURE(Announced);
      CAPTURE(FoundDead);
      MemberTable Table(member("self"), {});
      int Restarted = 0;
      Table.onRestarted([&](const Member &Seen) {
        CHECK(Seen.Id_ == VmId("vm-1"));
        ++Restarted;
      });
      Member Before = member("vm-1", 1);
      Table.merge(Before, Start);
      Before.Status_ = Announced ? MemberStatus::Leaving : MemberStatus::Alive;
      Before.Counter_ = 1;
      Table.merge(Before, Start);
      if (FoundDead) {
        Table.suspect(VmId("vm-1"), Start);
        Table.tick(Start + std::chrono::seconds(10));
      }
      Table.merge(member("vm-1", 2), Start + std::chrono::seconds(11));
      CHECK(Restarted == (Announced ? 0 : 1));
      Table.merge(member("vm-1", 3), Start + std::chrono::seconds(12));
      CHECK(Restarted == (Announced ? 1 : 2));
    }
}
