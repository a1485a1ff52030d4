#include "Process/GrantClient.h"

#include "Connection/PeerMessage.h"

#include <doctest/doctest.h>

#include <algorithm>

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
    Hooks.Suspect_ = [](const VmId &) {};
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
