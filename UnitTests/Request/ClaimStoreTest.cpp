#include "Request/ClaimStore.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <deque>
#include <map>

using namespace samphireshunt;

namespace {

/// What happens to one call of the key-value service.
enum class Fate { Fine, LostBefore, LostAfter };

/// A key-value service in memory; each write meets the next fate.
class FakePlatform {
public:
  PlatformHooks hooks() {
    PlatformHooks Hooks;
    Hooks.Get_ = [this](std::string Key) { return get(std::move(Key)); };
    Hooks.Put_ = [this](KeyValueWrite Write) { return put(std::move(Write)); };
    Hooks.Delete_ = [this](std::string Key, StorePosition) {
      return remove(std::move(Key));
    };
    return Hooks;
  }

  std::map<std::string, KeyValue> Entries_;
  std::deque<Fate> WriteFates_;
  std::deque<Fate> ReadFates_;

private:
  static Fate take(std::deque<Fate> &Fates) {
    if (Fates.empty())
      return Fate::Fine;
    Fate Next = Fates.front();
    Fates.pop_front();
    return Next;
  }

  Awaitable<Result<std::optional<KeyValue>>> get(std::string Key) {
    if (take(ReadFates_) != Fate::Fine)
      co_return Failure{ResultCode::PlatformUnavailable, ""};
    auto Found = Entries_.find(Key);
    co_return Found == Entries_.end() ? std::optional<KeyValue>()
                                      : std::optional(Found->second);
  }

  Awaitable<Result<StorePosition>> put(KeyValueWrite Write) {
    Fate Next = take(WriteFates_);
    if (Next == Fate::LostBefore)
      co_return Failure{ResultCode::PlatformUnavailable, ""};
    auto Found = Entries_.find(Write.Key_);
    StorePosition Present =
        Found == Entries_.end() ? StorePosition() : Found->second.Position_;
    if (Present != Write.Expected_)
      co_return Failure{ResultCode::VersionConflict, ""};
    StorePosition Written{StoreEra(), Revision(++Last_)};
    Entries_[Write.Key_] = {Write.Key_, Write.Value_, Written};
    if (Next == Fate::LostAfter)
      co_return Failure{ResultCode::PlatformUnavailable, ""};
    co_return Written;
  }

  Awaitable<Result<void>> remove(std::string Key) {
    Entries_.erase(Key);
    co_return Result<void>();
  }

  std::uint64_t Last_ = 0;
};

ClaimStore::Options quick() {
  ClaimStore::Options Options;
  Options.RetryDelay_ = std::chrono::milliseconds(0);
  Options.FinishDelay_ = std::chrono::milliseconds(0);
  return Options;
}

template <class Function> auto runCoroutine(Function Start) {
  boost::asio::io_context Context;
  using Value = typename decltype(Start())::value_type;
  std::optional<Value> Returned;
  boost::asio::co_spawn(
      Context, std::move(Start),
      [&](std::exception_ptr, Value Got) { Returned = std::move(Got); });
  Context.run();
  return std::move(*Returned);
}

Claim attempt(const std::string &Name) {
  Claim Wanted;
  Wanted.Attempt_ = Name;
  Wanted.BodyDigest_ = "digest";
  return Wanted;
}

const ClaimKey Key{ServiceName("s"), CustomerName("c"), "key"};

} // namespace

TEST_CASE("however calls get lost, one attempt at the most holds a key") {
  // Symptom: two attempts of one key are both dispatched.
  // Sequence: attempts claim in turn while answers, or calls, get lost.
  // Cause: a lost answer was taken for a refusal, or for a success.
  bool Holds = rc::check([] {
    FakePlatform Platform;
    auto Fates = rc::gen::container<std::deque<Fate>>(
        rc::gen::element(Fate::Fine, Fate::LostBefore, Fate::LostAfter));
    Platform.WriteFates_ = *Fates;
    Platform.ReadFates_ = *Fates;
    ClaimStore Store(Platform.hooks(), quick());
    int Holders = 0;
    std::string Holder;
    for (const char *Name : {"first", "second", "third"}) {
      auto Standing =
          runCoroutine([&] { return Store.claim(Key, attempt(Name)); });
      if (Standing && Standing->Attempt_ == Name) {
        ++Holders;
        Holder = Name;
      }
    }
    RC_ASSERT(Holders <= 1);
    if (Holders == 1)
      RC_ASSERT(Platform.Entries_.begin()->second.Value_.find(Holder) !=
                std::string::npos);
  });
  CHECK(Holds);
}

TEST_CASE("a claim whose answer was lost is the claimer's") {
  FakePlatform Platform;
  Platform.WriteFates_ = {Fate::LostAfter};
  ClaimStore Store(Platform.hooks(), quick());
  auto Standing =
      runCoroutine([&] { return Store.claim(Key, attempt("first")); });
  REQUIRE(Standing.has_value());
  CHECK(Standing->Attempt_ == "first");
}

TEST_CASE("what can't be read back is no claim") {
  FakePlatform Platform;
  Platform.WriteFates_ = {Fate::LostAfter, Fate::LostBefore, Fate::LostBefore};
  Platform.ReadFates_ = {Fate::LostBefore, Fate::LostBefore, Fate::LostBefore};
  ClaimStore Store(Platform.hooks(), quick());
  auto Standing =
      runCoroutine([&] { return Store.claim(Key, attempt("first")); });
  REQUIRE_FALSE(Standing.has_value());
  CHECK(Standing.error().Code_ == ResultCode::ClaimFailed);
}

TEST_CASE("a stored answer comes back as it was, bytes that are no text too") {
  FakePlatform Platform;
  ClaimStore Store(Platform.hooks(), quick());
  Claim Held =
      *runCoroutine([&] { return Store.claim(Key, attempt("first")); });
  Held.State_ = ClaimState::Answered;
  Held.Answer_.Status_ = 201;
  Held.Answer_.Body_ = std::string("\x00\xff\x80text", 7);
  boost::asio::io_context Context;
  boost::asio::co_spawn(
      Context, [&] { return Store.finish(Key, Held); },
      [](std::exception_ptr) {});
  Context.run();
  auto Found = runCoroutine([&] { return Store.find(Key); });
  REQUIRE(Found.has_value());
  REQUIRE(Found->has_value());
  CHECK((*Found)->State_ == ClaimState::Answered);
  CHECK((*Found)->Answer_.Status_ == 201);
  CHECK((*Found)->Answer_.Body_ == Held.Answer_.Body_);
}
