#include "Request/StopPolicy.h"
#include "Request/RunLengths.h"

#include "Process/Relay/ServerConnector.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <optional>

using namespace samphireshunt;
using std::chrono::milliseconds;

namespace {

constexpr StopTimes Times{milliseconds(2800), milliseconds(7400),
                          milliseconds(7700)};
/// \returns how long a direct connection takes, then one over each relay, in
/// ms.
int longestConnect() {
  ServerConnector::Options Known;
  return static_cast<int>(Known.DirectTimeout_.count()) +
         static_cast<int>(Known.MaxRelays_) *
             static_cast<int>(Known.RelayTimeout_.count());
}
/// How often a stop is looked at.
constexpr milliseconds Tick{50};

StopDecision decide(milliseconds Since, StoppingRequest Request) {
  return decideAtStop({Times, Since}, Request);
}

/// What happens to a request if nothing but the stop ends it.
struct Life {
  milliseconds Arrival_{0};
  milliseconds Wait_{0};    ///< For its grant.
  milliseconds Connect_{0}; ///< Nothing interrupts it.
  milliseconds Work_{0};
  milliseconds Left_{0}; ///< On its arrival.
  StopKind Kind_ = StopKind::Repeatable;
  std::optional<milliseconds> Expected_;
};

enum class End { Answered, TimedOut, NotRun, Unknown, Silent };

struct Ended {
  End How_ = End::Silent;
  bool Ran_ = false;
  milliseconds At_{0};
};

/// Asks the policy at each step and each tick, as a daemon does.
Ended live(const Life &Case) {
  milliseconds Now = Case.Arrival_;
  milliseconds Due = Case.Arrival_ + Case.Left_;
  auto Ask = [&](StopStage Stage) {
    return decide(Now, {Stage, Case.Kind_, Due - Now, Case.Expected_});
  };
  if (Ask(StopStage::Arrived) != StopDecision::GoOn)
    return {End::NotRun, false, Now};
  for (milliseconds Granted = Now + Case.Wait_; Now < Granted;
       Now = std::min(Now + Tick, Granted)) {
    if (Now >= Due)
      return {End::TimedOut, false, Now};
    if (Ask(StopStage::Waiting) != StopDecision::GoOn)
      return {End::NotRun, false, Now};
  }
  if (Now >= Due)
    return {End::TimedOut, false, Now};
  if (Ask(StopStage::Granted) != StopDecision::GoOn)
    return {End::NotRun, false, Now};
  Now += Case.Connect_;
  if (Now >= Times.ProcessEnd_)
    return {End::Silent, false, Now};
  if (Now >= Due)
    return {End::TimedOut, false, Now};
  if (Ask(StopStage::Granted) != StopDecision::GoOn)
    return {End::NotRun, false, Now};
  milliseconds Done = Now + Case.Work_;
  for (; Now < Done; Now = std::min(Now + Tick, Done)) {
    if (Now >= Due)
      return {End::TimedOut, true, Now};
    if (Now >= Times.ProcessEnd_)
      return {End::Silent, true, Now};
    StopDecision Told = Ask(StopStage::Dispatched);
    if (Told != StopDecision::GoOn)
      return {Told == StopDecision::End ? End::Unknown : End::NotRun, true,
              Now};
  }
  return {End::Answered, true, Now};
}

Life anyLife() {
  auto Millis = [](int High) {
    return milliseconds(
        *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, High)));
  };
  Life Case;
  Case.Arrival_ = Millis(8000);
  Case.Wait_ = Millis(8000);
  Case.Connect_ = Millis(longestConnect());
  Case.Work_ = Millis(9000);
  Case.Left_ = Millis(15000);
  Case.Kind_ = *rc::gen::element(StopKind::Repeatable, StopKind::Stream,
                                 StopKind::NonIdempotent);
  if (*rc::gen::arbitrary<bool>())
    Case.Expected_ = Millis(9000);
  return Case;
}

} // namespace

TEST_CASE("a request at any moment of a stop gets an answer or a refusal, and "
          "a refused one has not run") {
  // Guards against requests that are closed in silence at the end of a stop.
  bool Holds = rc::check([] {
    Life Case = anyLife();
    Ended Got = live(Case);
    RC_ASSERT(Got.How_ != End::Silent);
    RC_ASSERT(!(Got.How_ == End::NotRun && Got.Ran_));
    RC_ASSERT(Got.At_ < Times.ProcessEnd_ || Got.At_ == Case.Arrival_);
  });
  CHECK(Holds);
}

TEST_CASE("no run that its time or its usual length fits in is ended by a "
          "stop") {
  // Guards against requests that are dispatched and cut at the end of the stop.
  bool Holds = rc::check([] {
    Life Case = anyLife();
    if (Case.Expected_)
      Case.Work_ = std::min(Case.Work_, *Case.Expected_);
    bool Known = Case.Expected_ || Case.Kind_ == StopKind::NonIdempotent ||
                 Case.Arrival_ + Case.Wait_ >= Times.Admit_;
    RC_PRE(Known);
    RC_ASSERT(live(Case).How_ != End::Unknown);
  });
  CHECK(Holds);
}

TEST_CASE("a stopping daemon takes what can end in time") {
  // Guards against daemons that refuse what balancers still send to them.
  for (StopStage Stage : {StopStage::Arrived, StopStage::Waiting,
                          StopStage::Granted, StopStage::Repeat})
    for (StopKind Kind : {StopKind::Repeatable, StopKind::NonIdempotent}) {
      CHECK(decide(milliseconds(3000), {Stage, Kind, milliseconds(4400),
                                        std::nullopt}) == StopDecision::GoOn);
      CHECK(decide(milliseconds(500),
                   {Stage, Kind, milliseconds(12000), milliseconds(6900)}) ==
            StopDecision::GoOn);
      CHECK(decide(milliseconds(500),
                   {Stage, Kind, milliseconds(12000), milliseconds(6901)}) ==
            StopDecision::Refuse);
    }
}

TEST_CASE("without a usual length, a stop risks early what can be sent again") {
  // Guards against lost calls that may not be sent a second time.
  auto Early = [](StopKind Kind) {
    return decide(milliseconds(500), {StopStage::Arrived, Kind,
                                      milliseconds(12000), std::nullopt});
  };
  CHECK(Early(StopKind::Repeatable) == StopDecision::GoOn);
  CHECK(Early(StopKind::Stream) == StopDecision::GoOn);
  CHECK(Early(StopKind::NonIdempotent) == StopDecision::Refuse);
}

TEST_CASE("new streams are refused once balancers send elsewhere") {
  // Guards against streams that are cut by the end of a stop.
  StoppingRequest Stream{StopStage::Arrived, StopKind::Stream,
                         milliseconds(1000), milliseconds(100)};
  CHECK(decide(milliseconds(2799), Stream) == StopDecision::GoOn);
  CHECK(decide(milliseconds(2800), Stream) == StopDecision::Refuse);
  Stream.Stage_ = StopStage::Granted;
  CHECK(decide(milliseconds(2800), Stream) == StopDecision::GoOn);
}

TEST_CASE("the usual length of runs follows the last ones") {
  // Guards against a rare long run, or an old one, that has all others refused.
  RunLengths Lengths;
  Lengths.add("a", milliseconds(9000));
  Lengths.add("a", milliseconds(100));
  CHECK(!Lengths.expected("a", RunLengths::Bound::Most));
  for (int Run = 0; Run < 18; ++Run)
    Lengths.add("a", milliseconds(100));
  CHECK(Lengths.expected("a", RunLengths::Bound::Most) == milliseconds(100));
  CHECK(Lengths.expected("a", RunLengths::Bound::All) == milliseconds(9000));
  CHECK(!Lengths.expected("b", RunLengths::Bound::All));
  for (int Run = 0; Run < 64; ++Run)
    Lengths.add("a", milliseconds(200));
  CHECK(Lengths.expected("a", RunLengths::Bound::All) == milliseconds(200));
}

TEST_CASE(
    "a process that stands still at the end of its stop answers before it "
    "ends") {
  // Guards against requests that are closed in silence after a pause.
  CHECK(!mayEndUnfinished({Times, milliseconds(7699)}, milliseconds(299)));
  CHECK(mayEndUnfinished({Times, milliseconds(7700)}, milliseconds(300)));
  CHECK(!mayEndUnfinished({Times, milliseconds(9000)}, std::nullopt));
  CHECK(!mayEndUnfinished({Times, milliseconds(9000)}, milliseconds(99)));
  CHECK(mayEndUnfinished({Times, milliseconds(9000)}, milliseconds(100)));
}
