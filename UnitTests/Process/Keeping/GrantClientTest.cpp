#include "Process/Keeping/GrantClient.h"

#include "Connection/PeerMessage.h"
#include "Process/Keeping/KeeperService.h"

#include <doctest/doctest.h>

#include <fmt/format.h>

#include <algorithm>
#include <set>

using namespace samphireshunt;

namespace {

const CellId Cell{ServiceName("s"), PoolName("p"), 0};
const RequestId Id{1, 1};

/// An entry whose keepers are "first" and then "second"; what it sends is kept.
class Entry {
public:
  Entry() : Client_(Control_, VmId("entry"), hooks()) {}

  void acquire() {
    AskedRequest Asked;
    Asked.Id_ = Id;
    Asked.Customer_ = CustomerName("c");
    Asked.Deadline_ = std::chrono::steady_clock::now() + std::chrono::hours(1);
    Asked.MaxWait_ = std::chrono::seconds(1);
    Client_.acquire(Cell, Asked,
                    [this](GrantAnswer Answer) { Answers_.push_back(Answer); });
    settle();
  }
  void grantFrom(const std::string &Keeper, const std::string &Server) {
    Client_.onDecision(GrantDecision{Id, ServerName(Server), {}}, VmId(Keeper));
    settle();
  }
  /// Works off all that was posted.
  void settle() {
    Control_.restart();
    Control_.poll();
  }
  /// How many messages of this kind went to the keeper.
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

TEST_CASE("a grant that comes after the request was given up is handed back") {
  // Symptom: an engine's place stays taken although nobody uses it.
  // Sequence: the deadline passes; the grant is already on its way.
  // Cause: nobody waited for it any more, so nobody ended it.
  Entry Asking;
  Asking.acquire();
  Asking.Client_.withdraw(Id);
  Asking.settle();
  Asking.grantFrom("first", "e1");
  CHECK(Asking.Answers_.empty());
  CHECK(Asking.sent("first", wire::Body::Withdraw) == 1);
  CHECK(Asking.sent("first", wire::Body::Done) == 1);
}

TEST_CASE("a grant that comes twice is used once") {
  // Symptom: a request is dispatched to two engines.
  // Sequence: a keeper's grant is repeated, for the same engine or another.
  // Cause: each grant was taken for a new one.
  Entry Asking;
  Asking.acquire();
  Asking.grantFrom("first", "e1");
  Asking.grantFrom("first", "e2");
  REQUIRE(Asking.Answers_.size() == 1);
  CHECK(Asking.Answers_[0].Server_ == ServerName("e1"));
}

TEST_CASE("a lost keeper's ask goes to the next, and its late grant back") {
  // Symptom: a request is dispatched twice, by grants of two keepers.
  // Sequence: the link to the first keeper breaks; the second is asked and
  // grants; the first one's grant arrives after all.
  // Cause: a grant was judged by its request alone, not by its keeper.
  Entry Asking;
  Asking.acquire();
  Asking.Client_.onLinkDown(VmId("first"));
  CHECK(Asking.sent("second", wire::Body::Ask) == 1);
  Asking.grantFrom("first", "e1");
  CHECK(Asking.Answers_.empty());
  CHECK(Asking.sent("first", wire::Body::Done) == 1);
  Asking.grantFrom("second", "e2");
  REQUIRE(Asking.Answers_.size() == 1);
  CHECK(Asking.Answers_[0].Server_ == ServerName("e2"));
}

TEST_CASE("a new keeper is told what runs") {
  // Symptom: after a keeper's death an engine gets twice its limit.
  // Sequence: a request runs; its keeper's link breaks.
  // Cause: the new keeper knew only of what it had granted itself.
  Entry Asking;
  Asking.acquire();
  Asking.grantFrom("first", "e1");
  Asking.Client_.dispatched(Id, nullptr);
  Asking.settle();
  Asking.Client_.onLinkDown(VmId("first"));
  CHECK(Asking.sent("second", wire::Body::Running) == 1);
  Asking.Client_.done(Id, ServedSample());
  Asking.settle();
  CHECK(Asking.sent("second", wire::Body::Done) == 1);
  CHECK(Asking.sent("first", wire::Body::Done) == 0);
}

TEST_CASE("a keeper that has no configuration yet is passed over") {
  // Symptom: for five seconds after a loss of power every request is refused
  // with code 204, at all daemons, although engines are idle.
  // Sequence: all daemons start again; the platform's service turns away the
  // one that keeps the cell, so it knows no engine.
  // Cause: its refusal was taken for that of a cell without engines.
  Entry Asking;
  Asking.acquire();
  Asking.Client_.onDecision(
      RefuseDecision{
          Id, ResultCode::NotReady, std::chrono::milliseconds(0), {}},
      VmId("first"));
  Asking.settle();
  CHECK(Asking.Answers_.empty());
  CHECK(Asking.sent("second", wire::Body::Ask) == 1);
  Asking.grantFrom("second", "e1");
  REQUIRE(Asking.Answers_.size() == 1);
  CHECK(Asking.Answers_.front().Code_ == ResultCode::Ok);
}

TEST_CASE("a keeper that answers too late is passed over") {
  // Symptom: for ten seconds all callers leave without an answer, and engines
  // are idle.
  // Sequence: a burst comes while the keeper's VM is slow; its links hold.
  // Cause: only a keeper that was silent was passed over.
  Entry Asking;
  Asking.acquire();
  auto Asked = std::chrono::steady_clock::now();
  Asking.Client_.checkLateAnswers(Asked + std::chrono::milliseconds(900));
  Asking.Client_.checkLateAnswers(Asked + std::chrono::milliseconds(1000));
  CHECK(Asking.sent("second", wire::Body::Ask) == 0);
  Asking.Client_.checkLateAnswers(Asked + std::chrono::seconds(5));
  CHECK(Asking.sent("second", wire::Body::Ask) == 0);
  Asking.Client_.checkLateAnswers(Asked + std::chrono::seconds(6));
  CHECK(Asking.sent("second", wire::Body::Ask) == 1);
  CHECK(Asking.sent("first", wire::Body::Ask) == 1);
  // It lives, and would keep the request's place for ever.
  CHECK(Asking.sent("first", wire::Body::Withdraw) == 1);
}

namespace {

/// A daemon that keeps its own cell, of engines with one place each, until
/// another one does.
class OwnKeeper {
public:
  explicit OwnKeeper(int Engines)
      : Client_(Control_, Self, clientHooks()),
        Keeper_(Control_, withEngines(Documents_, Engines), options(),
                keeperHooks()) {
    Client_.setLocalKeeper(&Keeper_);
  }
  void acquire(std::uint64_t Number) {
    AskedRequest Asked;
    Asked.Id_ = {1, Number};
    Asked.Customer_ = CustomerName("c");
    Asked.Deadline_ = std::chrono::steady_clock::now() + std::chrono::hours(1);
    Client_.acquire(Cell, Asked, [](const GrantAnswer &) {});
    settle();
  }
  /// Works off all that was posted.
  void settle() {
    Control_.restart();
    Control_.poll();
  }

  static inline const VmId Self{"self"};
  boost::asio::io_context Control_;
  DocumentStore Documents_;
  bool OtherKeeps_ = false;
  /// Requests of which the other keeper was told that they run.
  std::multiset<RequestId> Told_;
  GrantClient Client_;
  KeeperService Keeper_;

private:
  static KeeperService::Options options() {
    KeeperService::Options Options;
    Options.RoundPause_ = 0;
    return Options;
  }
  static DocumentStore &withEngines(DocumentStore &Documents, int Count) {
    Document Built;
    Built.Service_ = Cell.Service_;
    Built.Tiers_ = {"0"};
    Pool Target;
    Target.Name_ = Cell.Pool_;
    for (int Index = 0; Index < Count; ++Index) {
      BackendServer Engine;
      Engine.Name_ = ServerName(fmt::format("engine-{}", Index));
      Engine.MaxInFlight_ = 1;
      Target.Servers_.push_back(std::move(Engine));
    }
    Built.Pools_.push_back(std::move(Target));
    Built.buildIndex();
    Documents.adopt(Cell.Service_, DocumentVersion(1),
                    std::make_shared<const Document>(std::move(Built)));
    return Documents;
  }
  GrantClient::Hooks clientHooks() {
    GrantClient::Hooks Hooks;
    Hooks.KeeperOf_ = [this](const CellId &, const std::vector<VmId> &) {
      return std::optional(OtherKeeps_ ? VmId("other") : Self);
    };
    Hooks.Send_ = [this](const VmId &, const std::string &Message) {
      auto Decoded = decodeMessage(Message).value();
      if (const auto *Running = Decoded.body.AsRunning())
        Told_.insert({Running->id->origin(), Running->id->sequence()});
    };
    Hooks.Check_ = [](const VmId &) {};
    return Hooks;
  }
  KeeperService::Hooks keeperHooks() {
    KeeperService::Hooks Hooks;
    Hooks.Decided_ = [this](const CellId &, const Decision &Taken) {
      Client_.onDecision(Taken, Self);
    };
    Hooks.Orphaned_ = [](const OrphanedRequest &) {};
    Hooks.AloneInFleet_ = [] { return true; };
    Hooks.IsKeeper_ = [](const CellId &) { return true; };
    Hooks.LiveShare_ = [] { return 1.0; };
    Hooks.FloorRaised_ = [] {};
    return Hooks;
  }
};

} // namespace

TEST_CASE(
    "grants that come while others move to the next keeper harm nothing") {
  // Symptom: a daemon ends by itself, with memory in use that was freed, as a
  // new configuration comes.
  // Sequence: it keeps a cell, with requests of its own running and waiting;
  // the cell moves; each withdrawal frees a place for one that waits.
  // Cause: the map of grants was walked through while grants were put into it.
  constexpr std::uint64_t Places = 40;
  OwnKeeper Daemon(Places);
  for (std::uint64_t Number = 1; Number <= 5 * Places; ++Number)
    Daemon.acquire(Number);
  REQUIRE(Daemon.Client_.running() == Places);
  Daemon.OtherKeeps_ = true;
  Daemon.Client_.rebind();
  for (std::uint64_t Number = 1; Number <= Places; ++Number)
    CHECK(Daemon.Told_.count({1, Number}) == 1);
  Daemon.Client_.rebind();
  CHECK(std::ranges::all_of(Daemon.Told_, [&](const RequestId &Moved) {
    return Daemon.Told_.count(Moved) == 1;
  }));
}

TEST_CASE("a cell that moves gives no place to what moves with it") {
  // Engines of one place each got two requests when their cell moved to another
  // keeper: 40 ran, and 80 did after the move. Each request that was withdrawn
  // to move freed its place; it went to one that waited, at once and at the
  // keeper that was about to be left, while the next keeper was told that the
  // first one still runs.
  constexpr std::uint64_t Places = 40;
  OwnKeeper Daemon(Places);
  for (std::uint64_t Number = 1; Number <= 5 * Places; ++Number)
    Daemon.acquire(Number);
  REQUIRE(Daemon.Client_.running() == Places);
  Daemon.OtherKeeps_ = true;
  Daemon.Client_.rebind();
  Daemon.settle();
  CHECK(Daemon.Client_.running() == Places);
  CHECK(Daemon.Client_.waiting() == 4 * Places);
}

TEST_CASE("only the keeper that is asked now can refuse") {
  // A request ends with a refusal although its keeper has room: an earlier one,
  // that was passed over for its late answers, refuses it after all.
  Entry Asking;
  Asking.acquire();
  Asking.Client_.onLinkDown(VmId("first"));
  REQUIRE(Asking.sent("second", wire::Body::Ask) == 1);
  RefuseDecision Late{
      Id, ResultCode::WaitTooLong, std::chrono::milliseconds(0), {}};
  Asking.Client_.onDecision(Late, VmId("first"));
  Asking.settle();
  CHECK(Asking.Answers_.empty());
  Asking.grantFrom("second", "e1");
  REQUIRE(Asking.Answers_.size() == 1);
  CHECK(Asking.Answers_.front().Code_ == ResultCode::Ok);
}
