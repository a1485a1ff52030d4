#include "Process/Scheduling/ServerHolds.h"
#include "Process/Scheduling/ServerNotice.h"

#include <doctest/doctest.h>

using namespace samphireshunt;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TimePoint Start{seconds(100)};
const ServerName Server("server");

} // namespace

TEST_CASE("the process that leaves gets nothing, the next one does") {
  // Guards against a server that is given work after it has said that it
  // leaves, and against one that stays unused after it has started again.
  ServerHolds Holds;
  Holds.leave(Server, Incarnation(7), Start);
  CHECK_FALSE(Holds.maySend(Server, Incarnation(7), Start + seconds(60)));
  CHECK(Holds.maySend(Server, Incarnation(8), Start));
  CHECK(Holds.maySend(ServerName("other"), Incarnation(7), Start));
}

TEST_CASE("a longer rest beats a shorter one, and ends") {
  // Guards against a rest that a later answer cuts short.
  ServerHolds Holds;
  Holds.rest(Server, Start + seconds(3), Start);
  Holds.rest(Server, Start + seconds(1), Start + milliseconds(10));
  CHECK_FALSE(Holds.maySend(Server, Incarnation(), Start + seconds(2)));
  CHECK(Holds.maySend(Server, Incarnation(), Start + seconds(3)));
}

TEST_CASE("old statements are forgotten, rests not before their end") {
  // Guards against a table that grows with every server that ever left.
  ServerHolds Holds;
  Holds.leave(Server, Incarnation(7), Start);
  Holds.rest(ServerName("resting"), Start + hours(1), Start);
  Holds.forgetOld(Start + hours(1) - seconds(1));
  CHECK(Holds.maySend(Server, Incarnation(7), Start + hours(1)));
  CHECK_FALSE(Holds.maySend(ServerName("resting"), Incarnation(),
                            Start + hours(1) - seconds(1)));
}

TEST_CASE("a rest is a decimal number of seconds") {
  // Guards against rests taken from text that names none, and against times
  // beyond the clock.
  for (const char *Text :
       {"", "soon", "-1", "1e9", "nan", "3s", "Wed, 21 Oct 2026 07:28:00 GMT"})
    CHECK(parseRest(Text).error().Code_ == ResultCode::BadServerNotice);
  CHECK(*parseRest("0.25") == milliseconds(250));
  CHECK(*parseRest("3") == seconds(3));
  CHECK(*parseRest("1000000000") == hours(24));
}
