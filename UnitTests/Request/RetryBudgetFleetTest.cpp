/// \file
/// The retries of a whole fleet, in virtual time: daemons that keep to their
/// parts without asking each other, while servers fail, daemons end and are cut
/// off, and requests move between them.

#include "Request/RetryBudget.h"

#include <doctest/doctest.h>
#include <pcg_random.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <functional>
#include <memory>
#include <numeric>
#include <random>
#include <vector>

using namespace samphireshunt;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr RetryBudget::TimePoint Start{seconds(1000)};
constexpr milliseconds Step{50};
constexpr std::size_t StepsPerSecond = seconds(1) / Step;
constexpr std::size_t WindowSteps = 10 * StepsPerSecond;
constexpr std::size_t Length = 60 * StepsPerSecond;
constexpr std::size_t JoinSteps = 6;
constexpr double Ratio = 0.2;
constexpr double Allowance = 54;
const PoolName Pool("pool");

struct Load {
  std::size_t Daemons_ = 7;
  double RequestsPerSecond_ = 170;
  /// In which steps all sends fail, so that any number of retries is wanted.
  std::function<bool(std::size_t Step)> Fails_;
  /// In which steps a process ends and starts again.
  std::function<bool(std::size_t Step, std::size_t Daemon)> Restarts_ =
      [](std::size_t, std::size_t) { return false; };
  /// How many daemons a daemon sees.
  std::function<std::size_t(std::size_t Step, std::size_t Daemon)> Sees_ = {};
  /// The daemon that gets a request.
  std::function<std::size_t(std::size_t Step, std::size_t Request)> Target_ =
      {};
  /// In which steps retries that wait for a server are sent.
  std::function<bool(std::size_t Step)> Sends_ = [](std::size_t) {
    return true;
  };
};

struct Counted {
  std::vector<double> Requests_ = std::vector<double>(Length);
  std::vector<double> Sent_ = std::vector<double>(Length);

  static double window(const std::vector<double> &Counts, std::ptrdiff_t From) {
    auto First = std::clamp<std::ptrdiff_t>(From, 0, Length);
    auto Last = std::clamp<std::ptrdiff_t>(
        From + static_cast<std::ptrdiff_t>(WindowSteps), 0, Length);
    return std::accumulate(Counts.begin() + First, Counts.begin() + Last, 0.0);
  }
  /// \returns the most retries of any window, as a part of what is allowed
  /// there.
  double worst() const {
    double Worst = 0;
    constexpr std::ptrdiff_t Window = WindowSteps;
    for (std::ptrdiff_t From = 0; From < std::ptrdiff_t(Length); ++From) {
      double Requests =
          std::max({window(Requests_, From), window(Requests_, From - Window),
                    window(Requests_, From - Window / 2)});
      Worst =
          std::max(Worst, window(Sent_, From) / (Ratio * Requests + Allowance));
    }
    return Worst;
  }
};

class Fleet {
public:
  explicit Fleet(Load Played) : Load_(std::move(Played)) {
    for (std::size_t Index = 0; Index < Load_.Daemons_; ++Index)
      start(Index, Start - seconds(60));
  }

  Counted play() {
    double Due = 0;
    std::size_t Request = 0;
    for (std::size_t Index = 0; Index < Length; ++Index) {
      auto Now = Start + Index * Step;
      for (std::size_t Daemon = 0; Daemon < Load_.Daemons_; ++Daemon)
        runDaemon(Index, Daemon);
      for (Due += Load_.RequestsPerSecond_ / StepsPerSecond; Due >= 1; --Due) {
        std::size_t Target = Load_.Target_ ? Load_.Target_(Index, Request)
                                           : Request % Load_.Daemons_;
        ++Request;
        ++Result_.Requests_[Index];
        Process &Used = Processes_[Target];
        Used.Budget_->recordRequest(Pool, Now);
        if (Load_.Fails_(Index))
          retry(Used, Now);
      }
    }
    return Result_;
  }

private:
  struct Process {
    std::unique_ptr<RetryBudget> Budget_;
    std::vector<RetryReservation> Waiting_;
    std::size_t JoinsAt_ = 0;
  };

  void start(std::size_t Daemon, RetryBudget::TimePoint Now) {
    Processes_.resize(Load_.Daemons_);
    Processes_[Daemon] = {};
    Processes_[Daemon].Budget_ =
        std::make_unique<RetryBudget>(RetryBudget::Options{
            .Ratio_ = Ratio, .Allowance_ = Allowance, .Started_ = Now});
  }

  void runDaemon(std::size_t Index, std::size_t Daemon) {
    auto Now = Start + Index * Step;
    if (Load_.Restarts_(Index, Daemon)) {
      start(Daemon, Now);
      Processes_[Daemon].JoinsAt_ = Index + JoinSteps;
    }
    Process &Running = Processes_[Daemon];
    std::size_t Seen =
        Load_.Sees_ ? Load_.Sees_(Index, Daemon) : Load_.Daemons_;
    if (Index == Running.JoinsAt_)
      Seen = Load_.Daemons_;
    Running.Budget_->noteFleetSize(Index < Running.JoinsAt_ ? 1 : Seen, Now);
    if (!Load_.Sends_(Index))
      return;
    Result_.Sent_[Index] += static_cast<double>(Running.Waiting_.size());
    std::ranges::for_each(Running.Waiting_, &RetryReservation::sent);
    Running.Waiting_.clear();
  }

  void retry(Process &Used, RetryBudget::TimePoint Now) {
    while (auto Allowed = Used.Budget_->tryRetry(Pool, Now))
      Used.Waiting_.push_back(std::move(*Allowed));
  }

  Load Load_;
  std::vector<Process> Processes_;
  Counted Result_;
};

auto between(std::size_t FirstSecond, std::size_t LastSecond) {
  return [=](std::size_t Index) {
    return Index >= FirstSecond * StepsPerSecond &&
           Index < LastSecond * StepsPerSecond;
  };
}

} // namespace

TEST_CASE("retries of a fleet: servers fail for long, at any phase") {
  // Guards against a count that forgets retries before their window is over.
  for (std::size_t Phase = 0; Phase < StepsPerSecond; Phase += 4)
    for (double Rate : {5.0, 40.0, 170.0}) {
      Load Failing{.RequestsPerSecond_ = Rate};
      Failing.Fails_ = [=](std::size_t Index) {
        return Index >= 20 * StepsPerSecond + Phase;
      };
      double Worst = Fleet(std::move(Failing)).play().worst();
      CHECK(Worst <= 1);
      // Answers are not given up for want of a budget that is there.
      CHECK(Worst >= 0.6);
    }
}

TEST_CASE("retries of a fleet: all processes end again and again") {
  // Guards against processes that have forgotten what those before them sent.
  for (std::size_t Every : {StepsPerSecond, 2 * StepsPerSecond,
                            5 * StepsPerSecond, 9 * StepsPerSecond})
    for (double Rate : {5.0, 40.0, 170.0}) {
      Load Ending{.RequestsPerSecond_ = Rate};
      Ending.Fails_ = between(19, 40);
      Ending.Restarts_ = [=](std::size_t Index, std::size_t) {
        return between(20, 40)(Index) && Index % Every == 0;
      };
      CHECK(Fleet(std::move(Ending)).play().worst() <= 1);
    }
}

TEST_CASE("retries of a fleet: every daemon is cut off from the others") {
  // Guards against daemons that take the allowance of those they can't see.
  for (double Rate : {5.0, 40.0, 170.0}) {
    Load Apart{.RequestsPerSecond_ = Rate};
    Apart.Fails_ = between(20, 40);
    Apart.Sees_ = [](std::size_t Index, std::size_t) {
      return between(15, 45)(Index) ? std::size_t{1} : std::size_t{7};
    };
    CHECK(Fleet(std::move(Apart)).play().worst() <= 1);
  }
}

TEST_CASE("retries of a fleet: retries wait, and are sent all at once") {
  // Guards against retries that are counted when they are decided and arrive
  // together seconds later, when servers are back.
  Load Waiting;
  Waiting.Fails_ = between(15, 45);
  Waiting.Sends_ = [](std::size_t Index) { return !between(15, 35)(Index); };
  CHECK(Fleet(std::move(Waiting)).play().worst() <= 1);
}

TEST_CASE("retries of a fleet: all requests move from one daemon to another") {
  // Guards against retries for the requests of two windows that two daemons
  // send within one.
  Load Moving;
  Moving.Fails_ = [](std::size_t Index) {
    bool Odd = Index / WindowSteps % 2 == 1;
    std::size_t First = (Odd ? 18 : 19) * StepsPerSecond / 2;
    return Index % WindowSteps >= First;
  };
  Moving.Target_ = [](std::size_t Index, std::size_t) {
    return Index / WindowSteps % 7;
  };
  CHECK(Fleet(std::move(Moving)).play().worst() <= 1);
}

TEST_CASE("retries of a fleet: any order of events, small and large fleets") {
  for (std::uint64_t Seed = 1; Seed <= 30; ++Seed) {
    pcg64 Random(Seed);
    auto Chance = [&](double Of) {
      return std::uniform_real_distribution<>(0, 1)(Random) < Of;
    };
    Load Any{.Daemons_ = Seed % 10 == 0 ? std::size_t{300} : std::size_t{8}};
    Any.RequestsPerSecond_ = std::array{10.0, 60.0, 300.0}[Seed % 3];
    std::vector<bool> Fails(Length), Sends(Length), AllEnd(Length);
    std::vector<std::size_t> Favourite(Length);
    for (std::size_t Index = 1; Index < Length; ++Index) {
      Fails[Index] = Chance(0.03) != Fails[Index - 1];
      Sends[Index] = Chance(0.05) != Sends[Index - 1];
      AllEnd[Index] = Chance(0.01);
      Favourite[Index] =
          Chance(0.02) ? Random() % Any.Daemons_ : Favourite[Index - 1];
    }
    Any.Fails_ = [=](std::size_t Index) { return Fails[Index]; };
    Any.Sends_ = [=](std::size_t Index) { return Sends[Index]; };
    Any.Restarts_ = [&, AllEnd](std::size_t Index, std::size_t) {
      return AllEnd[Index] || Chance(0.002);
    };
    Any.Sees_ = [&, Count = Any.Daemons_](std::size_t, std::size_t) {
      return 1 + Random() % Count;
    };
    Any.Target_ = [&, Favourite, Count = Any.Daemons_](std::size_t Index,
                                                       std::size_t) {
      return Chance(0.5) ? Favourite[Index] : Random() % Count;
    };
    CAPTURE(Seed);
    CHECK(Fleet(std::move(Any)).play().worst() <= 1);
  }
}
