#include "Process/Keeping/GrantClient.h"

#include "Connection/PeerMessage.h"
#include "Process/Keeping/KeeperService.h"
#include "UnitTests/Process/Keeping/EnginePool.h"
#include "UnitTests/Process/Keeping/LoneKeeper.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>

using namespace samphireshunt;

namespace {

const CellId Cell{ServiceName("s"), PoolName("p"), 0};
const RequestId Id{1, 1};

/// An ingress daemon whose keepers are "first" and then "second"; it records
/// what is sent.
class IngressDaemon {
public:
  IngressDaemon() : Client_(Control_, VmId("entry"), hooks()) {}

  void acquire() {
    GrantRequest Request;
    Request.Id_ = Id;
    Request.Customer_ = CustomerName("c");
    Request.Deadline_ =
        std::chrono::steady_clock::now() + std::chrono::hours(1);
    Request.MaxWait_ = std::chrono::seconds(1);
    Client_.acquire(Cell, Request,
                    [this](GrantAnswer Answer) { Answers_.push_back(Answer); });
    settle();
  }
  void grantFrom(const std::string &Keeper, const std::string &Server) {
    Client_.onDecision(GrantDecision{Id, ServerName(Server), {}}, VmId(Keeper));
    settle();
  }
  /// Runs all posted handlers.
  void settle() {
    Control_.restart();
    Control_.poll();
  }
  /// Returns the number of messages of this kind sent to the keeper.
  std::size_t sent(const std::string &Keeper, wire::Body Kind) const {
    return static_cast<std::size_t>(
        std::ranges::count(Sent_, std::pair(Keeper, Kind)));
  }

  boost::asio::io_context Control_;
  std::vector<std::pair<std::string, wire::Body>> Sent_;
  std::vector<GrantAnswer> Answers_;
  GrantClient Client_;

private:
  GrantClient::Hooks hooks() {
    GrantClient::Hooks Hooks;
    Hooks.KeeperOf_ = [](const CellId &, const std::vector<VmId> &Unreachable) {
      bool FirstGone = std::ranges::count(Unreachable, VmId("first")) > 0;
      return std::optional(VmId(FirstGone ? "second" : "first"));
    };
    Hooks.Send_ = [this](const VmId &To, std::string Message) {
      Sent_.emplace_back(To.str(), decodeMessage(Message).value().body.type);
    };
    Hooks.Check_ = [](const VmId &) {};
    return Hooks;
  }
};

} // namespace

TEST_CASE("a grant that arrives after its request was withdrawn is returned") {
  // An unused engine slot would stay occupied if a request is withdrawn at its
  // deadline while the grant is already in transit: nobody waits for the grant,
  // so nobody would end it.
  IngressDaemon Ingress;
  Ingress.acquire();
  Ingress.Client_.withdraw(Id);
  Ingress.settle();
  Ingress.grantFrom("first", "e1");
  CHECK(Ingress.Answers_.empty());
  CHECK(Ingress.sent("first", wire::Body::Withdraw) == 1);
  CHECK(Ingress.sent("first", wire::Body::Done) == 1);
}

TEST_CASE("a grant that arrives twice is used once") {
  // A request would be dispatched to two engines if a keeper's grant is
  // received twice, for the same engine or another, and each is taken for a new
  // one.
  IngressDaemon Ingress;
  Ingress.acquire();
  Ingress.grantFrom("first", "e1");
  Ingress.grantFrom("first", "e2");
  REQUIRE(Ingress.Answers_.size() == 1);
  CHECK(Ingress.Answers_[0].Server_ == ServerName("e1"));
}

TEST_CASE("a lost keeper's request moves to the next keeper, and its grant is "
          "returned") {
  // A request would be dispatched twice, by grants of two keepers: the link to
  // the first keeper breaks, the second keeper grants the request, and then the
  // first one's grant arrives. A grant must be matched by its keeper as well as
  // by its request.
  IngressDaemon Ingress;
  Ingress.acquire();
  Ingress.Client_.onLinkDown(VmId("first"), LinkLoss::Failed);
  CHECK(Ingress.sent("second", wire::Body::Ask) == 1);
  Ingress.grantFrom("first", "e1");
  CHECK(Ingress.Answers_.empty());
  CHECK(Ingress.sent("first", wire::Body::Done) == 1);
  Ingress.grantFrom("second", "e2");
  REQUIRE(Ingress.Answers_.size() == 1);
  CHECK(Ingress.Answers_[0].Server_ == ServerName("e2"));
}

TEST_CASE("a keeper whose link was reset is asked again") {
  // Guards against a customer that gets more than its allotment: daemons whose
  // links were reset would ask another keeper for two seconds, beside theirs.
  IngressDaemon Ingress;
  Ingress.acquire();
  Ingress.grantFrom("first", "e1");
  Ingress.Client_.onLinkDown(VmId("first"), LinkLoss::Reset);
  CHECK(Ingress.sent("first", wire::Body::Running) == 1);
  Ingress.Client_.done(Id, ServedSample());
  Ingress.acquire();
  CHECK(Ingress.sent("first", wire::Body::Ask) == 2);
  // It accepts links and closes them.
  Ingress.Client_.onLinkDown(VmId("first"), LinkLoss::Reset);
  CHECK(Ingress.sent("first", wire::Body::Ask) == 2);
  CHECK(Ingress.sent("second", wire::Body::Ask) == 1);
}

TEST_CASE("a keeper whose process has ended is skipped until it starts again") {
  // Guards against a customer that gets more than its allotment: after a
  // restart, daemons would ask the previous keeper for the rest of two seconds,
  // and the present one would grant beside it.
  IngressDaemon Ingress;
  Ingress.Client_.onMemberSeen(VmId("first"), Incarnation(1));
  Ingress.acquire();
  for (LinkLoss Loss : {LinkLoss::Reset, LinkLoss::Unopened})
    Ingress.Client_.onLinkDown(VmId("first"), Loss);
  CHECK(Ingress.sent("second", wire::Body::Ask) == 1);
  // Others reach the same process; this daemon does not.
  Ingress.Client_.onMemberSeen(VmId("first"), Incarnation(1));
  Ingress.Client_.rebind();
  CHECK(Ingress.sent("first", wire::Body::Ask) == 2);
  Ingress.Client_.onMemberSeen(VmId("first"), Incarnation(2));
  Ingress.Client_.rebind();
  CHECK(Ingress.sent("second", wire::Body::Withdraw) == 1);
  CHECK(Ingress.sent("first", wire::Body::Ask) == 3);
}

TEST_CASE("running requests are reported to a new keeper") {
  // An engine would get twice its limit after the link to a keeper breaks while
  // a request runs, if the new keeper knows only what it granted itself.
  IngressDaemon Ingress;
  Ingress.acquire();
  Ingress.grantFrom("first", "e1");
  Ingress.Client_.dispatched(Id, nullptr);
  Ingress.settle();
  Ingress.Client_.onLinkDown(VmId("first"), LinkLoss::Failed);
  CHECK(Ingress.sent("second", wire::Body::Running) == 1);
  Ingress.Client_.done(Id, ServedSample());
  Ingress.settle();
  CHECK(Ingress.sent("second", wire::Body::Done) == 1);
  CHECK(Ingress.sent("first", wire::Body::Done) == 0);
}

TEST_CASE("a new keeper learns of servers' limits before it is asked") {
  // Guards against a server that gets requests beyond the rate that it named to
  // this daemon, since its next keeper does not know that rate.
  IngressDaemon Ingress;
  Ingress.acquire();
  Ingress.grantFrom("first", "e1");
  Ingress.Client_.limitRead(Id, RequestRate(1.4));
  Ingress.settle();
  CHECK(Ingress.sent("first", wire::Body::ServerLimit) == 1);
  Ingress.Client_.done(Id, ServedSample());
  Ingress.settle();
  Ingress.Client_.onLinkDown(VmId("first"), LinkLoss::Failed);
  Ingress.acquire();
  auto ToSecond = [](const auto &Message) { return Message.first == "second"; };
  auto First = std::ranges::find_if(Ingress.Sent_, ToSecond);
  REQUIRE(First != Ingress.Sent_.end());
  CHECK(First->second == wire::Body::ServerLimit);
  CHECK(Ingress.sent("second", wire::Body::Ask) == 1);
  // A limit that has ended is not reported.
  Ingress.grantFrom("second", "e1");
  Ingress.Client_.limitRead(Id, std::nullopt);
  Ingress.settle();
  CHECK(Ingress.sent("second", wire::Body::ServerLimit) == 2);
}

TEST_CASE("a keeper without a configuration is skipped") {
  // After a loss of power, all daemons would refuse every request with code 204
  // for seconds although engines are idle: the platform's service turned away
  // the daemon that is the cell's keeper, so it knows no engine, and its
  // refusal would be taken for that of a cell without engines.
  IngressDaemon Ingress;
  Ingress.acquire();
  Ingress.Client_.onDecision(
      RefuseDecision{
          Id, ResultCode::NotReady, std::chrono::milliseconds(0), {}},
      VmId("first"));
  Ingress.settle();
  CHECK(Ingress.Answers_.empty());
  CHECK(Ingress.sent("second", wire::Body::Ask) == 1);
  Ingress.grantFrom("second", "e1");
  REQUIRE(Ingress.Answers_.size() == 1);
  CHECK(Ingress.Answers_.front().Code_ == ResultCode::Ok);
}

TEST_CASE("a keeper whose answers are overdue is skipped") {
  // All callers would leave without an answer, while engines are idle, if a
  // burst arrives when the keeper's VM is slow but its links stay open, and
  // only an unreachable keeper is replaced.
  IngressDaemon Ingress;
  Ingress.acquire();
  auto Start = std::chrono::steady_clock::now();
  Ingress.Client_.checkOverdueAnswers(Start + std::chrono::milliseconds(900));
  Ingress.Client_.checkOverdueAnswers(Start + std::chrono::milliseconds(1000));
  CHECK(Ingress.sent("second", wire::Body::Ask) == 0);
  Ingress.Client_.checkOverdueAnswers(Start + std::chrono::seconds(5));
  CHECK(Ingress.sent("second", wire::Body::Ask) == 0);
  Ingress.Client_.checkOverdueAnswers(Start + std::chrono::seconds(6));
  CHECK(Ingress.sent("second", wire::Body::Ask) == 1);
  CHECK(Ingress.sent("first", wire::Body::Ask) == 1);
  // The keeper is alive, and would leave the request's slot occupied forever.
  CHECK(Ingress.sent("first", wire::Body::Withdraw) == 1);
}

namespace {

/// A daemon that schedules its own cell, of engines with one slot each, until
/// another daemon does.
class LocalKeeperDaemon {
public:
  explicit LocalKeeperDaemon(int Engines)
      : Client_(Control_, Self, clientHooks()),
        Keeper_(Control_, withEngines(Documents_, Engines), options(),
                keeperHooks()) {
    Client_.setLocalKeeper(&Keeper_);
  }
  void acquire(std::uint64_t Number) {
    GrantRequest Request;
    Request.Id_ = {1, Number};
    Request.Customer_ = CustomerName("c");
    Request.Deadline_ =
        std::chrono::steady_clock::now() + std::chrono::hours(1);
    Client_.acquire(Cell, Request, [](const GrantAnswer &) {});
    settle();
  }
  /// Runs all posted handlers.
  void settle() {
    Control_.restart();
    Control_.poll();
  }

  static inline const VmId Self{"self"};
  boost::asio::io_context Control_;
  DocumentStore Documents_;
  bool OtherIsKeeper_ = false;
  /// Requests that were reported to the other keeper as running.
  std::multiset<RequestId> ReportedRunning_;
  GrantClient Client_;
  KeeperService Keeper_;

private:
  static KeeperService::Options options() {
    KeeperService::Options Options;
    Options.RoundPauseFactor_ = 0;
    return Options;
  }
  static DocumentStore &withEngines(DocumentStore &Documents, int Count) {
    Document Built;
    Built.Service_ = Cell.Service_;
    Built.Tiers_ = {"0"};
    Built.Pools_.push_back(tests::enginePool(Cell.Pool_, Count, 1));
    Built.buildIndex();
    Documents.adopt(Cell.Service_, DocumentVersion(1),
                    std::make_shared<const Document>(std::move(Built)));
    return Documents;
  }
  GrantClient::Hooks clientHooks() {
    GrantClient::Hooks Hooks;
    Hooks.KeeperOf_ = [this](const CellId &, const std::vector<VmId> &) {
      return std::optional(OtherIsKeeper_ ? VmId("other") : Self);
    };
    Hooks.Send_ = [this](const VmId &, const std::string &Message) {
      auto Decoded = decodeMessage(Message).value();
      if (const auto *Running = Decoded.body.AsRunning())
        ReportedRunning_.insert(
            {Running->id->origin(), Running->id->sequence()});
    };
    Hooks.Check_ = [](const VmId &) {};
    return Hooks;
  }
  KeeperService::Hooks keeperHooks() {
    KeeperService::Hooks Hooks = tests::loneKeeperHooks();
    Hooks.Decided_ = [this](const CellId &, const Decision &Made) {
      Client_.onDecision(Made, Self);
    };
    return Hooks;
  }
};

} // namespace

TEST_CASE("grants during the move to the next keeper don't corrupt memory") {
  // A daemon would crash on freed memory when a new configuration arrives. It
  // schedules a cell, with requests of its own running and waiting; the cell
  // moves, and each withdrawal frees a slot for a waiting request. The grant
  // would be inserted into the map of grants during the iteration over it.
  constexpr std::uint64_t Slots = 40;
  LocalKeeperDaemon Daemon(Slots);
  for (std::uint64_t Number = 1; Number <= 5 * Slots; ++Number)
    Daemon.acquire(Number);
  REQUIRE(Daemon.Client_.running() == Slots);
  Daemon.OtherIsKeeper_ = true;
  Daemon.Client_.rebind();
  for (std::uint64_t Number = 1; Number <= Slots; ++Number)
    CHECK(Daemon.ReportedRunning_.count({1, Number}) == 1);
  Daemon.Client_.rebind();
  CHECK(
      std::ranges::all_of(Daemon.ReportedRunning_, [&](const RequestId &Moved) {
        return Daemon.ReportedRunning_.count(Moved) == 1;
      }));
}

TEST_CASE(
    "a cell that moves grants no slot to the requests that move with it") {
  // Engines with one slot each would get two requests when their cell moves to
  // another keeper. Each request that is withdrawn to move frees its slot at
  // the previous keeper, which would grant it at once to a waiting request,
  // while the next keeper is informed that the first request still runs.
  constexpr std::uint64_t Slots = 40;
  LocalKeeperDaemon Daemon(Slots);
  for (std::uint64_t Number = 1; Number <= 5 * Slots; ++Number)
    Daemon.acquire(Number);
  REQUIRE(Daemon.Client_.running() == Slots);
  Daemon.OtherIsKeeper_ = true;
  Daemon.Client_.rebind();
  Daemon.settle();
  CHECK(Daemon.Client_.running() == Slots);
  CHECK(Daemon.Client_.waiting() == 4 * Slots);
}

TEST_CASE("only the keeper that is asked now can refuse a request") {
  // A request would be refused although its keeper has capacity, if a previous
  // keeper, abandoned because its answers were overdue, refuses the request
  // after all.
  IngressDaemon Ingress;
  Ingress.acquire();
  Ingress.Client_.onLinkDown(VmId("first"), LinkLoss::Failed);
  REQUIRE(Ingress.sent("second", wire::Body::Ask) == 1);
  RefuseDecision Stale{
      Id, ResultCode::WaitTooLong, std::chrono::milliseconds(0), {}};
  Ingress.Client_.onDecision(Stale, VmId("first"));
  Ingress.settle();
  CHECK(Ingress.Answers_.empty());
  Ingress.grantFrom("second", "e1");
  REQUIRE(Ingress.Answers_.size() == 1);
  CHECK(Ingress.Answers_.front().Code_ == ResultCode::Ok);
}
