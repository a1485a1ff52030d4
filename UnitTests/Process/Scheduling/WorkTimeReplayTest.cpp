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
constexpr double CycleMs = 600;
constexpr double SlowFactor = 2.5;
constexpr double MedianMs = 60;
/// Standard deviation of the logarithm of calls' durations.
constexpr double Spread = 0.7;
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
  Replay(Figure Known, std::size_t AgeMs, std::uint64_t Seed)
      : Known_(Known), AgeMs_(AgeMs), Scheduler_(options()), Random_(Seed),
        Noise_(Seed + 1000) {
    std::vector<ServerCapacity> Capacities;
    for (int Index = 0; Index < ServerCount; ++Index) {
      ServerName Name(fmt::format("app-{}", Index));
      Servers_[Name];
      Capacities.push_back({Name, Slots, true});
    }
    Scheduler_.configure(std::move(Capacities), {}, 1, 1000);
  }

  /// \returns the share of calls that are answered in time.
  double run(milliseconds Length) {
    for (auto End = Now_ + Length; Now_ < End; Now_ += milliseconds(1)) {
      for (auto &[Name, Server] : Servers_)
        step(Name, Server);
      if (uniform(Random_) < PerMs)
        submit();
      apply(Scheduler_.decide(Now_));
    }
    return static_cast<double>(InTime_) / static_cast<double>(Sent_.size());
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
    double MeanMs = CycleMs * (Server.Slow_ ? SlowShare : 1 - SlowShare);
    if (uniform(Noise_) < 1 / MeanMs)
      Server.Slow_ = !Server.Slow_;
    Server.Factors_.push_front(Server.factor());
    if (Server.Factors_.size() > AgeMs_ + 1)
      Server.Factors_.pop_back();
    for (FakeServer::Call &Call : Server.Calls_)
      Call.LeftMs_ -= 1 / Server.factor();
    auto Ended = std::ranges::partition(
        Server.Calls_, [](const auto &Call) { return Call.LeftMs_ > 0; });
    for (const FakeServer::Call &Call : Ended)
      end(Call, Server);
    Server.Calls_.erase(Ended.begin(), Ended.end());
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
    InTime_ += Now_ <= Sent_.at(Call.Id_).At_ + Objective ? 1 : 0;
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

  Figure Known_;
  std::size_t AgeMs_;
  Scheduler Scheduler_;
  pcg32 Random_;
  pcg32 Noise_;
  WorkTimePattern OraclePattern_;
  std::map<ServerName, FakeServer> Servers_;
  std::map<RequestId, Asked> Sent_;
  TimePoint Now_ = Start;
  int InTime_ = 0;
};

double lateShare(Figure Known, std::size_t AgeMs) {
  constexpr int Seeds = 5;
  double Sum = 0;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed)
    Sum += 1 - Replay(Known, AgeMs, Seed).run(milliseconds(20000));
  return Sum / Seeds;
}

} // namespace

TEST_CASE("short calls avoid servers that their neighbours slow down") {
  // Guards against late calls at slow servers while others have room, and
  // against outdated figures that do harm.
  double Without = lateShare(Figure::None, 0);
  double AtOnce = lateShare(Figure::Told, 0);
  double Later = lateShare(Figure::Told, 100);
  double Outdated = lateShare(Figure::Told, 500);
  double Oracle = lateShare(Figure::Oracle, 0);
  MESSAGE(fmt::format("late without the figure {:.4f}, with it {:.4f}, 100 ms "
                      "old {:.4f}, 500 ms old {:.4f}, oracle {:.4f}",
                      Without, AtOnce, Later, Outdated, Oracle));
  CHECK(AtOnce < 0.9 * Without);
  CHECK(Outdated <= 1.02 * Without);
}
