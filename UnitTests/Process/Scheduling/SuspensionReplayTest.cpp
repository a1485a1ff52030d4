/// \file
/// Replays a burst of the highest tier on slots that are full of long streams
/// of the lowest one, through the scheduler alone.

#include "Process/Scheduling/Scheduler.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <map>

using namespace samphireshunt;
using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

constexpr TimePoint Start{std::chrono::seconds(1000)};
constexpr milliseconds Step{1};
/// Between the order to stop a run and its end, and between a grant and the
/// first event.
constexpr milliseconds StopTime{20};
constexpr milliseconds FirstEventTime{40};
constexpr std::int64_t TokensPerMilli = 1;

Scheduler::Options options(bool Suspend) {
  Scheduler::Options Options;
  Options.TierCount_ = 2;
  Options.GuaranteedShare_ = 0.3;
  Options.RefuseLongWaits_ = true;
  Options.Preempt_ = false;
  Options.RefuseInfeasible_ = false;
  Options.SuspendStreams_ = Suspend;
  return Options;
}

struct Outcomes {
  int InTime_ = 0;
  int Late_ = 0;
  int Refused_ = 0;
  int Completed_ = 0;
  int Lost_ = 0; ///< Suspended, and refused when they were to go on.
};

class Replay {
public:
  Replay(bool Suspend, bool MovesRuns) : Scheduler_(options(Suspend)) {
    std::vector<ServerCapacity> Servers;
    constexpr std::uint32_t Engines = 12;
    constexpr std::uint32_t Slots = 4;
    for (std::uint32_t Index = 0; Index < Engines; ++Index)
      Servers.push_back(
          {ServerName(fmt::format("engine-{:02}", Index)), Slots, true});
    Scheduler_.configure(std::move(Servers), {}, 2, 10000);
    Scheduler_.setMovesRuns(MovesRuns);
  }

  /// Sends a request of \p Tier that generates for \p Length.
  void send(std::uint32_t Tier, milliseconds Length) {
    RequestId Id{1, ++Sequence_};
    Runs_[Id] = {Tier, Length, Now_};
    ask(Id, {}, milliseconds(400), milliseconds(400));
  }
  void step() {
    std::erase_if(Steps_, [this](const auto &Item) {
      if (Item.first > Now_)
        return false;
      Due_.push_back(Item.second);
      return true;
    });
    for (const auto &Each : std::exchange(Due_, {}))
      Each();
    apply(Scheduler_.decide(Now_));
    Now_ += Step;
  }
  TimePoint now() const { return Now_; }
  const Outcomes &outcomes(std::uint32_t Tier) { return Outcomes_[Tier]; }
  int suspensions() const { return Suspensions_; }
  const Scheduler &scheduler() const { return Scheduler_; }

private:
  struct Run {
    std::uint32_t Tier_;
    milliseconds Left_;
    TimePoint Sent_;
    TimePoint Granted_{};
    ServerName Server_{};
    int Grants_ = 0;
    bool Stopping_ = false;
  };

  void ask(const RequestId &Id, ServerName Only, milliseconds Objective,
           milliseconds MaxWait) {
    const Run &Asking = Runs_.at(Id);
    GrantRequest Request;
    Request.Id_ = Id;
    Request.Tier_ = TierIndex(Asking.Tier_);
    Request.Customer_ = CustomerName("c");
    Request.Deadline_ = Asking.Sent_ + std::chrono::seconds(15);
    Request.Objective_ = Now_ + Objective;
    Request.MaxWait_ = MaxWait;
    Request.IsRetry_ = !Only.empty();
    Request.Answer_ = Tokens(100000);
    Request.EstimatedAnswer_ = Tokens(Asking.Left_.count() * TokensPerMilli);
    Request.OnlyServer_ = std::move(Only);
    apply(Scheduler_.requestGrant(std::move(Request), Now_));
  }
  void after(milliseconds Delay, std::function<void()> Then) {
    Steps_.emplace(Now_ + Delay, std::move(Then));
  }
  void apply(const std::vector<Decision> &Decisions) {
    for (const Decision &Each : Decisions) {
      if (const auto *Grant = std::get_if<GrantDecision>(&Each))
        granted(*Grant);
      else if (const auto *Refusal = std::get_if<RefuseDecision>(&Each))
        refused(Refusal->Id_);
      else if (const auto *Suspend = std::get_if<SuspendDecision>(&Each))
        after(StopTime, [this, Id = Suspend->Id_] { stopped(Id); });
    }
  }
  void granted(const GrantDecision &Grant) {
    Run &Begun = Runs_.at(Grant.Id_);
    Outcomes &Count = Outcomes_[Begun.Tier_];
    if (Begun.Grants_++ == 0)
      ++(Now_ - Begun.Sent_ <= milliseconds(400) ? Count.InTime_ : Count.Late_);
    Begun.Granted_ = Now_;
    Begun.Server_ = Grant.Server_;
    after(FirstEventTime, [this, Id = Grant.Id_] {
      if (Runs_.contains(Id))
        Scheduler_.firstToken(Id, {microseconds(FirstEventTime)}, Now_);
    });
    after(Begun.Left_, [this, Id = Grant.Id_, Number = Begun.Grants_] {
      completed(Id, Number);
    });
  }
  void completed(const RequestId &Id, int Number) {
    auto Found = Runs_.find(Id);
    if (Found == Runs_.end() || Found->second.Grants_ != Number ||
        Found->second.Server_.empty())
      return;
    ServedSample Sample;
    Sample.Reached_ = Sample.Complete_ = true;
    Sample.FirstToken_ = FirstEventTime;
    Sample.Duration_ = duration_cast<microseconds>(Found->second.Left_);
    Sample.Generated_ = Tokens(Found->second.Left_.count() * TokensPerMilli);
    ++Outcomes_[Found->second.Tier_].Completed_;
    Runs_.erase(Found);
    Scheduler_.done(Id, Sample, Now_);
  }
  void stopped(const RequestId &Id) {
    auto Found = Runs_.find(Id);
    if (Found == Runs_.end())
      return;
    Run &Stopped = Found->second;
    ++Suspensions_;
    Stopped.Left_ -= duration_cast<milliseconds>(Now_ - Stopped.Granted_);
    ServerName Server = std::exchange(Stopped.Server_, {});
    ServedSample Sample;
    Sample.Reached_ = Sample.Suspended_ = true;
    Scheduler_.done(Id, Sample, Now_);
    ask(Id, std::move(Server), milliseconds(500), milliseconds(3000));
  }
  void refused(const RequestId &Id) {
    const Run &Ended = Runs_.at(Id);
    Outcomes &Count = Outcomes_[Ended.Tier_];
    ++(Ended.Grants_ > 0 ? Count.Lost_ : Count.Refused_);
    Runs_.erase(Id);
  }

  Scheduler Scheduler_;
  TimePoint Now_ = Start;
  std::uint64_t Sequence_ = 0;
  std::map<RequestId, Run> Runs_;
  std::multimap<TimePoint, std::function<void()>> Steps_;
  std::vector<std::function<void()>> Due_;
  std::map<std::uint32_t, Outcomes> Outcomes_;
  int Suspensions_ = 0;
};

/// Three seconds in which the lowest tier asks for one and a half times what
/// there is, then a second in which the highest one asks for half of it.
void replayBurst(Replay &Load) {
  for (int Milli = 0; Milli < 12000; ++Milli) {
    bool Streams = Milli < 7000 && Milli % 25 == 0;
    bool Burst = Milli >= 3000 && Milli < 4000 && Milli % 12 == 0;
    if (Streams)
      Load.send(1, milliseconds(1800));
    if (Burst)
      Load.send(0, milliseconds(300));
    // Some requests of the highest tier at all times.
    if (Milli % 100 == 0 && Milli < 7000)
      Load.send(0, milliseconds(300));
    Load.step();
  }
}

} // namespace

TEST_CASE("streams of the lowest tier make room for a burst of the highest") {
  Replay With(true, true);
  replayBurst(With);
  Replay Without(false, true);
  replayBurst(Without);
  INFO("with ", With.outcomes(0).InTime_, " late ", With.outcomes(0).Late_,
       " refused ", With.outcomes(0).Refused_, " without ",
       Without.outcomes(0).InTime_, " refused ", Without.outcomes(0).Refused_,
       " suspended ", With.suspensions(), " lost ", With.outcomes(1).Lost_);
  CHECK(Without.suspensions() == 0);
  CHECK(With.suspensions() > 0);
  // Of those that the highest tier loses without suspension, half are served.
  int Lost = Without.outcomes(0).Late_ + Without.outcomes(0).Refused_;
  REQUIRE(Lost > 20);
  CHECK(With.outcomes(0).Late_ + With.outcomes(0).Refused_ <= Lost / 2);
  CHECK(With.outcomes(1).Lost_ == 0);
  CHECK(With.scheduler().suspension().orders() == 0);
  CHECK(With.scheduler().suspension().stopped() == 0);
}

TEST_CASE("nothing is suspended where engines don't move runs") {
  Replay Load(true, false);
  replayBurst(Load);
  CHECK(Load.suspensions() == 0);
}
