/// \file
/// Tests which requests count as the cause of their servers' crashes.

#include "Process/Scheduling/CrashHistory.h"

#include "Process/Scheduling/Scheduler.h"

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>

using namespace samphireshunt;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

constexpr TimePoint Start{hours(1000)};
constexpr milliseconds RunTime{100};
constexpr std::size_t ManyServers = 6;
const RequestFingerprint Request{1, 1};

ServerName server(std::size_t Number) {
  return ServerName(fmt::format("server-{}", Number));
}

/// The request runs on \p Count servers one after the other and ends each.
void crash(CrashHistory &History, std::size_t Count, TimePoint &Now,
           std::size_t FirstServer = 0) {
  for (std::size_t Number = 0; Number < Count; ++Number) {
    Now += RunTime + milliseconds(1);
    History.recordCrash(Request, server(FirstServer + Number), Now - RunTime,
                        Now);
  }
}

} // namespace

TEST_CASE("the third server that a request ends leads to its refusal") {
  CrashHistory History;
  TimePoint Now = Start;
  CHECK(History.standing(Request, Now) == RequestStanding::Unsuspected);
  crash(History, 2, Now);
  CHECK(History.standing(Request, Now) == RequestStanding::Suspected);
  crash(History, 1, Now, 2);
  CHECK(History.standing(Request, Now) == RequestStanding::Refused);
  CHECK(History.standing({1, 2}, Now) == RequestStanding::Unsuspected);
}

TEST_CASE("servers that crash together don't convict a popular request") {
  // Guards against a popular request that is refused because copies of it ran
  // on all servers of a rack that lost power.
  CrashHistory History;
  for (std::size_t Number = 0; Number < 8; ++Number)
    History.recordCrash(Request, server(Number), Start - RunTime,
                        Start + milliseconds(Number));
  CHECK(History.standing(Request, Start + seconds(1)) ==
        RequestStanding::Suspected);
  CHECK(History.recordCompleted(Request, Start + seconds(1)));
  CHECK(History.standing(Request, Start + seconds(1)) ==
        RequestStanding::Unsuspected);
}

TEST_CASE("a request that has completed needs more crashes to be refused") {
  // Guards against a popular request that is refused because it ran beside
  // three others that crashed their servers before any of its runs completed.
  CrashHistory History;
  TimePoint Now = Start;
  History.recordCompleted(Request, Now);
  crash(History, 5, Now);
  CHECK(History.standing(Request, Now) == RequestStanding::Suspected);
  crash(History, 1, Now, 5);
  CHECK(History.standing(Request, Now) == RequestStanding::Refused);
}

TEST_CASE("a server that had crashed before a request was sent to it is no "
          "evidence") {
  // Guards against a request that is refused because it was sent to servers
  // that were gone already.
  CrashHistory History;
  TimePoint Now = Start;
  for (std::size_t Number = 0; Number < 4; ++Number)
    History.recordCrash({2, Number}, server(Number), Now, Now);
  Now += seconds(1);
  crash(History, 4, Now);
  CHECK(History.standing(Request, Now) == RequestStanding::Unsuspected);
}

TEST_CASE("a refusal ends, and each further crash makes it longer") {
  // Guards against a request that ends three more servers each time that its
  // refusal has ended.
  CrashHistory History;
  TimePoint Now = Start;
  crash(History, 3, Now);
  Now += minutes(11);
  CHECK(History.standing(Request, Now) == RequestStanding::Suspected);
  crash(History, 1, Now, 3);
  CHECK(History.standing(Request, Now + minutes(39)) ==
        RequestStanding::Refused);
  CHECK(History.standing(Request, Now + minutes(41)) ==
        RequestStanding::Suspected);
}

TEST_CASE("daemons agree in whatever order they exchange their histories") {
  // Guards against daemons of which some refuse a request and others run it.
  rc::check([] {
    auto Count = *rc::gen::inRange<std::size_t>(1, 12);
    std::vector<CrashRecord> News;
    for (std::size_t Number = 0; Number < Count; ++Number) {
      auto Dispatched = milliseconds(*rc::gen::inRange(0, 5000));
      auto Lasted = milliseconds(*rc::gen::inRange(1, 1000));
      CrashRecord Record;
      Record.Request_ = Request;
      Record.Crashes_ = {{*rc::gen::inRange<std::uint64_t>(1, 8),
                          Start + Dispatched, Start + Dispatched + Lasted}};
      Record.Clearings_ = *rc::gen::inRange<std::uint32_t>(0, 3);
      News.push_back(Record);
    }
    // One daemon sees each server's crash; its time is the one that counts.
    std::set<std::uint64_t> Seen;
    std::erase_if(News, [&](const CrashRecord &Record) {
      return !Seen.insert(Record.Crashes_.front().Server_).second;
    });
    CrashRecord Cleared;
    Cleared.Request_ = Request;
    Cleared.Clearings_ = 1;
    Cleared.Cleared_ = Start + milliseconds(*rc::gen::inRange(0, 5000));
    if (*rc::gen::arbitrary<bool>())
      News.push_back(Cleared);
    auto Shuffled = News;
    for (std::size_t Number = Shuffled.size(); Number > 1; --Number)
      std::swap(Shuffled[Number - 1],
                Shuffled[*rc::gen::inRange<std::size_t>(0, Number)]);
    TimePoint Now = Start + seconds(10);
    CrashHistory One;
    CrashHistory Other;
    for (const CrashRecord &Record : News)
      One.merge(Record, Now);
    for (const CrashRecord &Record : Shuffled)
      Other.merge(Record, Now);
    RC_ASSERT(One.standing(Request, Now) == Other.standing(Request, Now));
    RC_ASSERT(One.digest() == Other.digest());
  });
}

TEST_CASE("memory stays bounded, and refused requests are remembered longest") {
  // Guards against a history that grows with every server that ends.
  CrashHistory History;
  TimePoint Now = Start;
  crash(History, 3, Now);
  for (std::uint64_t Number = 1; Number <= 4 * CrashHistory::MaxRecords;
       ++Number) {
    Now += milliseconds(1);
    History.recordCrash({2, Number}, server(Number), Now - RunTime, Now);
  }
  CHECK(History.snapshot().Records_.size() == CrashHistory::MaxRecords);
  CHECK(History.standing(Request, Now) == RequestStanding::Refused);
  History.forgetOld(Now + hours(2));
  CHECK(History.snapshot().Records_.size() == 1);
  History.forgetOld(Now + hours(30));
  CHECK(History.empty());
}

namespace {

/// Replays a load of requests that are sent again until they are answered, on
/// servers that end when they run the request that crashes them, and come back
/// under a new name. All requests on a server end with it.
class CrashReplay {
public:
  static constexpr milliseconds Step{100};
  static constexpr int StepsPerRun = 8;

  explicit CrashReplay(std::size_t Servers) : Servers_(Servers) {
    Scheduler_.setStandingHook([this](const RequestFingerprint &Sent) {
      return History_.standing(Sent, Now_);
    });
    for (std::size_t Number = 0; Number < Servers_; ++Number)
      Names_.push_back(server(NextServer_++));
    configure();
  }

  void send(const RequestFingerprint &Sent) {
    GrantRequest Grant;
    Grant.Id_ = {1, NextId_++};
    Grant.Customer_ = CustomerName(fmt::format("customer-{}", Sent.High_));
    Grant.Deadline_ = Now_ + seconds(30);
    Grant.Fingerprint_ = Sent;
    Sent_[Grant.Id_] = Sent;
    apply(Scheduler_.requestGrant(Grant, Now_));
  }

  /// Lets all servers work for one step. \p Crashes tells whether a request
  /// ends its server once it has run for a step.
  void step(const std::function<bool(const RequestFingerprint &)> &Crashes) {
    Now_ += Step;
    std::set<ServerName> Ended;
    for (auto &[Id, Run] : Runs_)
      if (++Run.Steps_ == 1 && Crashes(Sent_.at(Id)))
        Ended.insert(Run.Server_);
    auto Runs = Runs_;
    for (const auto &[Id, Run] : Runs)
      if (Ended.contains(Run.Server_) || Run.Steps_ == StepsPerRun)
        end(Id, Run, Ended.contains(Run.Server_));
    for (const ServerName &Name : Ended)
      std::ranges::replace(Names_, Name, server(NextServer_++));
    configure();
    apply(Scheduler_.decide(Now_));
  }

  std::size_t crashes() const { return NextServer_ - Servers_; }
  std::size_t answered(const RequestFingerprint &Sent) const {
    auto Found = Answered_.find(Sent);
    return Found == Answered_.end() ? 0 : Found->second;
  }
  std::size_t refused(const RequestFingerprint &Sent) const {
    auto Found = Refused_.find(Sent);
    return Found == Refused_.end() ? 0 : Found->second;
  }
  std::size_t runningCopies(const RequestFingerprint &Sent) const {
    return static_cast<std::size_t>(std::ranges::count_if(
        Runs_, [&](const auto &Item) { return Sent_.at(Item.first) == Sent; }));
  }

private:
  struct Run {
    ServerName Server_;
    TimePoint Dispatched_;
    int Steps_ = 0;
  };

  void configure() {
    std::vector<ServerCapacity> Capacities;
    for (const ServerName &Name : Names_)
      Capacities.push_back({Name, 4, true, Tokens(0), 0, Incarnation(1)});
    Scheduler_.configure(std::move(Capacities), {}, 1, 1000);
  }
  void apply(const std::vector<Decision> &Decisions) {
    for (const Decision &Made : Decisions) {
      if (const auto *Grant = std::get_if<GrantDecision>(&Made))
        Runs_[Grant->Id_] = {Grant->Server_, Now_, 0};
      else if (const auto *Refusal = std::get_if<RefuseDecision>(&Made))
        ++Refused_[Sent_.at(Refusal->Id_)];
    }
  }
  void end(const RequestId &Id, const Run &Ended, bool Crashed) {
    RequestFingerprint Sent = Sent_.at(Id);
    if (Crashed)
      History_.recordCrash(Sent, Ended.Server_, Ended.Dispatched_, Now_);
    else
      History_.recordCompleted(Sent, Now_);
    ServedSample Sample;
    Sample.Reached_ = true;
    Sample.Complete_ = !Crashed;
    Scheduler_.done(Id, Sample, Now_);
    if (History_.standing(Sent, Now_) == RequestStanding::Refused)
      apply(Scheduler_.refuseCrashing(Sent));
    Runs_.erase(Id);
    if (Crashed)
      send(Sent);
    else
      ++Answered_[Sent];
  }

  std::size_t Servers_;
  CrashHistory History_;
  Scheduler Scheduler_{Scheduler::Options()};
  TimePoint Now_ = Start;
  std::vector<ServerName> Names_;
  std::size_t NextServer_ = 0;
  std::uint64_t NextId_ = 1;
  std::map<RequestId, RequestFingerprint> Sent_;
  std::map<RequestId, Run> Runs_;
  std::map<RequestFingerprint, std::size_t> Answered_;
  std::map<RequestFingerprint, std::size_t> Refused_;
};

} // namespace

TEST_CASE("requests that share servers with one that crashes them are "
          "answered") {
  // Guards against harmless requests that are refused because they ran beside
  // the one that ends servers, were sent again with it, and shared its next
  // server too.
  // On two servers all that ran beside it is placed beside it again.
  constexpr std::size_t Servers = 2;
  CrashReplay Load(Servers);
  const RequestFingerprint Harmful{9, 9};
  constexpr std::uint64_t Harmless = 7;
  for (std::uint64_t Number = 1; Number <= Harmless; ++Number)
    Load.send({Number, 1});
  Load.send(Harmful);
  for (int Step = 0; Step < 200; ++Step)
    Load.step([&](const RequestFingerprint &Sent) { return Sent == Harmful; });
  CHECK(Load.crashes() == 3);
  CHECK(Load.refused(Harmful) == 1);
  for (std::uint64_t Number = 1; Number <= Harmless; ++Number) {
    CHECK(Load.refused({Number, 1}) == 0);
    CHECK(Load.answered({Number, 1}) == 1);
  }
}

TEST_CASE("of many copies of a suspected request one runs at a time") {
  // Guards against copies that waited together and each end a server at once.
  CrashReplay Load(ManyServers);
  const RequestFingerprint Harmful{9, 9};
  auto Crashes = [&](const RequestFingerprint &Sent) {
    return Sent == Harmful;
  };
  Load.send(Harmful);
  Load.step(Crashes);
  Load.step(Crashes);
  CHECK(Load.crashes() == 1);
  for (int Copy = 0; Copy < 8; ++Copy)
    Load.send(Harmful);
  for (int Step = 0; Step < 10; ++Step) {
    Load.step(Crashes);
    CHECK(Load.runningCopies(Harmful) <= 1);
  }
  CHECK(Load.crashes() == 3);
}

TEST_CASE("a popular request is served on through ordinary crashes") {
  // Guards against a popular request that is refused because servers crashed
  // under it three times in a day, for reasons of their own.
  CrashReplay Load(ManyServers);
  const RequestFingerprint Popular{1, 1};
  std::size_t Sent = 0;
  for (int Round = 0; Round < 6; ++Round) {
    // One server is lost with all that it runs.
    bool Lost = false;
    for (int Step = 0; Step < 40; ++Step) {
      Load.send(Popular);
      ++Sent;
      Load.step([&](const RequestFingerprint &) {
        return Step == 20 && !std::exchange(Lost, true);
      });
    }
  }
  for (int Step = 0; Step < 200; ++Step)
    Load.step([](const RequestFingerprint &) { return false; });
  CHECK(Load.crashes() == 6);
  CHECK(Load.refused(Popular) == 0);
  CHECK(Load.answered(Popular) == Sent);
}

TEST_CASE("copies of a suspected request don't hold up their caller's other "
          "requests") {
  // Guards against a caller that is served nothing while it repeats one
  // request.
  CrashReplay Load(ManyServers);
  const RequestFingerprint Harmful{1, 1};
  const RequestFingerprint Harmless{1, 2};
  bool First = true;
  Load.send(Harmful);
  for (int Step = 0; Step < 2; ++Step)
    Load.step([&](const RequestFingerprint &) {
      return std::exchange(First, false);
    });
  REQUIRE(Load.crashes() == 1);
  for (int Copy = 0; Copy < 20; ++Copy)
    Load.send(Harmful);
  Load.send(Harmless);
  for (int Step = 0; Step <= CrashReplay::StepsPerRun; ++Step)
    Load.step([](const RequestFingerprint &) { return false; });
  CHECK(Load.answered(Harmless) == 1);
}
