/// \file
/// Replays calls through the scheduler to application servers that their
/// neighbours slow down.

#include "Process/Scheduling/Scheduler.h"

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <pcg_random.hpp>

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <numbers>
#include <vector>

using namespace samphireshunt;
using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

constexpr TimePoint Start{std::chrono::seconds(1000)};
constexpr int ServerCount = 7;
constexpr std::uint32_t Slots = 6;
constexpr double SlowShare = 0.15;
constexpr double SlowFactor = 2.5;
constexpr double MedianMs = 60;
/// Standard deviation of the logarithm of calls' durations.
constexpr double Spread = 0.5;
constexpr double PerMs = 0.3;
constexpr milliseconds Objective{300};

enum class Figure { None, Told, Oracle };

/// An application server that is slow from time to time.
struct FakeServer {
  struct Call {
    RequestId Id_;
    double LeftMs_;
    TimePoint Sent_;
  };
  std::vector<Call> Calls_;
  bool Slow_ = false;
  /// The factors of the last milliseconds, the newest one first.
  std::deque<double> Factors_;
  double factor() const { return Slow_ ? SlowFactor : 1; }
};

class Replay {
public:
  Replay(double CycleMs, Figure Known, std::size_t AgeMs, std::uint64_t Seed)
      : CycleMs_(CycleMs), Known_(Known), AgeMs_(AgeMs), Scheduler_(options()),
        Random_(Seed), Noise_(Seed + 1000) {
    std::vector<ServerCapacity> Capacities;
    for (int Index = 0; Index < ServerCount; ++Index) {
      ServerName Name(fmt::format("app-{}", Index));
      Servers_[Name];
      Capacities.push_back({Name, Slots, true});
    }
    Scheduler_.configure(std::move(Capacities), {}, 1, 1000);
  }

  /// \returns the share of answers that come too late.
  double run(milliseconds Length) {
    for (auto End = Now_ + Length; Now_ < End; Now_ += milliseconds(1)) {
      for (auto &[Name, Server] : Servers_)
        step(Name, Server);
      if (uniform(Random_) < PerMs)
        submit();
      apply(Scheduler_.decide(Now_));
    }
    return static_cast<double>(Late_) / static_cast<double>(Ended_);
  }

private:
  struct Asked {
    TimePoint At_;
    double WorkMs_;
  };

  static Scheduler::Options options() {
    Scheduler::Options Options;
    Options.GuaranteedShare_ = 0.15;
    Options.RefuseLongWaits_ = true;
    Options.Preempt_ = false;
    return Options;
  }
  static double uniform(pcg32 &Random) { return Random() / 4294967296.0; }

  /// Simulates a millisecond.
  void step(const ServerName &Name, FakeServer &Server) {
    double MeanMs = CycleMs_ * (Server.Slow_ ? SlowShare : 1 - SlowShare);
    if (uniform(Noise_) < 1 / MeanMs)
      Server.Slow_ = !Server.Slow_;
    Server.Factors_.push_front(Server.factor());
    if (Server.Factors_.size() > AgeMs_ + 1)
      Server.Factors_.pop_back();
    for (FakeServer::Call &Call : Server.Calls_)
      Call.LeftMs_ -= 1 / Server.factor();
    auto Ended =
        std::partition(Server.Calls_.begin(), Server.Calls_.end(),
                       [](const auto &Call) { return Call.LeftMs_ > 0; });
    std::for_each(Ended, Server.Calls_.end(),
                  [&](const FakeServer::Call &Call) { end(Call, Server); });
    Server.Calls_.erase(Ended, Server.Calls_.end());
    if (Known_ == Figure::Oracle)
      Scheduler_.server(Name)->workTime().read(
          WorkTimeFactor::of(Server.factor()), Now_, OraclePattern_);
  }

  void end(const FakeServer::Call &Call, const FakeServer &Server) {
    ServedSample Sample;
    Sample.Reached_ = Sample.Complete_ = true;
    Sample.Duration_ = duration_cast<microseconds>(Now_ - Call.Sent_);
    if (Known_ != Figure::None)
      Sample.WorkTimePercent_ =
          static_cast<std::uint32_t>(Server.Factors_.back() * 100);
    Scheduler_.done(Call.Id_, Sample, Now_);
    ++Ended_;
    Late_ += Now_ > Sent_.at(Call.Id_).At_ + Objective ? 1 : 0;
  }

  void submit() {
    double Normal = std::sqrt(-2 * std::log(uniform(Random_) + 1e-9)) *
                    std::cos(2 * std::numbers::pi * uniform(Random_));
    GrantRequest Request;
    Request.Id_ = {1, Sent_.size() + 1};
    Request.Customer_ = CustomerName("c");
    Request.Deadline_ = Now_ + milliseconds(5000);
    Request.Objective_ = Now_ + Objective;
    Request.MaxWait_ = Objective;
    Sent_[Request.Id_] = {Now_, MedianMs * std::exp(Spread * Normal)};
    apply(Scheduler_.requestGrant(std::move(Request), Now_));
  }

  void apply(const std::vector<Decision> &Decisions) {
    for (const Decision &Each : Decisions)
      if (const auto *Grant = std::get_if<GrantDecision>(&Each))
        Servers_.at(Grant->Server_)
            .Calls_.push_back({Grant->Id_, Sent_.at(Grant->Id_).WorkMs_, Now_});
  }

  double CycleMs_;
  Figure Known_;
  std::size_t AgeMs_;
  Scheduler Scheduler_;
  pcg32 Random_;
  pcg32 Noise_;
  WorkTimePattern OraclePattern_;
  std::map<ServerName, FakeServer> Servers_;
  std::map<RequestId, Asked> Sent_;
  TimePoint Now_ = Start;
  int Ended_ = 0;
  int Late_ = 0;
};

/// Late shares of answers.
struct Compared {
  double Without_;
  double AtOnce_;
  double Later_;
  double Outdated_;
  double Oracle_;
};

double lateShare(double CycleMs, Figure Known, std::size_t AgeMs) {
  constexpr int Seeds = 10;
  double Sum = 0;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed)
    Sum += Replay(CycleMs, Known, AgeMs, Seed).run(milliseconds(20000));
  return Sum / Seeds;
}

Compared compare(double CycleMs) {
  Compared Late{lateShare(CycleMs, Figure::None, 0),
                lateShare(CycleMs, Figure::Told, 0),
                lateShare(CycleMs, Figure::Told, 100),
                lateShare(CycleMs, Figure::Told, 500),
                lateShare(CycleMs, Figure::Oracle, 0)};
  MESSAGE(fmt::format("late without the figure {:.5f}, with it {:.5f}, 100 ms "
                      "old {:.5f}, 500 ms old {:.5f}, oracle {:.5f}",
                      Late.Without_, Late.AtOnce_, Late.Later_, Late.Outdated_,
                      Late.Oracle_));
  return Late;
}

} // namespace

TEST_CASE("short calls avoid servers that their neighbours slow down") {
  // Guards against late calls at slow servers while others have room.
  Compared Late = compare(2000);
  CHECK(Late.AtOnce_ < 0.8 * Late.Without_);
  CHECK(Late.Outdated_ <= Late.Without_);
}

TEST_CASE("work times of moments shorter than calls do no harm") {
  // Guards against placement by figures that are outdated when calls start.
  Compared Late = compare(600);
  CHECK(Late.AtOnce_ <= Late.Without_);
  CHECK(Late.Outdated_ <= 1.1 * Late.Without_);
}
