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

/// The result of one call of the key-value service: it succeeds, or it fails
/// before or after it took effect.
enum class CallResult { Success, LostBefore, LostAfter };

/// A key-value service in memory. Each read and each write takes the next
/// result from its own queue of scripted results; an empty queue means success.
/// Deletions always succeed.
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
  std::deque<CallResult> WriteResults_;
  std::deque<CallResult> ReadResults_;

private:
  static CallResult take(std::deque<CallResult> &Results) {
    if (Results.empty())
      return CallResult::Success;
    CallResult Next = Results.front();
    Results.pop_front();
    return Next;
  }

  Awaitable<Result<std::optional<KeyValue>>> get(std::string Key) {
    if (take(ReadResults_) != CallResult::Success)
      co_return Failure{ResultCode::PlatformUnavailable, ""};
    auto Found = Entries_.find(Key);
    co_return Found == Entries_.end() ? std::optional<KeyValue>()
                                      : std::optional(Found->second);
  }

  Awaitable<Result<StorePosition>> put(KeyValueWrite Write) {
    CallResult Next = take(WriteResults_);
    if (Next == CallResult::LostBefore)
      co_return Failure{ResultCode::PlatformUnavailable, ""};
    auto Found = Entries_.find(Write.Key_);
    StorePosition Present =
        Found == Entries_.end() ? StorePosition() : Found->second.Position_;
    if (Present != Write.Expected_)
      co_return Failure{ResultCode::VersionConflict, ""};
    StorePosition Written{StoreEra(), Revision(++LastRevision_)};
    Entries_[Write.Key_] = {Write.Key_, Write.Value_, Written};
    if (Next == CallResult::LostAfter)
      co_return Failure{ResultCode::PlatformUnavailable, ""};
    co_return Written;
  }

  Awaitable<Result<void>> remove(std::string Key) {
    Entries_.erase(Key);
    co_return Result<void>();
  }

  std::uint64_t LastRevision_ = 0;
};

ClaimStore::Options optionsWithoutDelays() {
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
  // Guards against two attempts of one key that are both dispatched. Attempts
  // claim the key one after the other while calls or answers get lost, and a
  // lost answer could be taken for a refusal or for a success.
  bool Holds = rc::check([] {
    FakePlatform Platform;
    auto Results = rc::gen::container<std::deque<CallResult>>(rc::gen::element(
        CallResult::Success, CallResult::LostBefore, CallResult::LostAfter));
    Platform.WriteResults_ = *Results;
    Platform.ReadResults_ = *Results;
    ClaimStore Store(Platform.hooks(), optionsWithoutDelays());
    int Owners = 0;
    std::string Owner;
    for (const char *Name : {"first", "second", "third"}) {
      auto Stored =
          runCoroutine([&] { return Store.claim(Key, attempt(Name)); });
      if (Stored && Stored->Attempt_ == Name) {
        ++Owners;
        Owner = Name;
      }
    }
    RC_ASSERT(Owners <= 1);
    if (Owners == 1)
      RC_ASSERT(Platform.Entries_.begin()->second.Value_.find(Owner) !=
                std::string::npos);
  });
  CHECK(Holds);
}

TEST_CASE("a claim whose answer was lost belongs to its attempt") {
  FakePlatform Platform;
  Platform.WriteResults_ = {CallResult::LostAfter};
  ClaimStore Store(Platform.hooks(), optionsWithoutDelays());
  auto Stored =
      runCoroutine([&] { return Store.claim(Key, attempt("first")); });
  REQUIRE(Stored.has_value());
  CHECK(Stored->Attempt_ == "first");
}

TEST_CASE("a claim that can't be read back fails") {
  FakePlatform Platform;
  Platform.WriteResults_ = {CallResult::LostAfter, CallResult::LostBefore,
                            CallResult::LostBefore};
  Platform.ReadResults_ = {CallResult::LostBefore, CallResult::LostBefore,
                           CallResult::LostBefore};
  ClaimStore Store(Platform.hooks(), optionsWithoutDelays());
  auto Stored =
      runCoroutine([&] { return Store.claim(Key, attempt("first")); });
  REQUIRE_FALSE(Stored.has_value());
  CHECK(Stored.error().Code_ == ResultCode::ClaimFailed);
}

TEST_CASE("a stored answer is returned unchanged, including bytes that are not "
          "text") {
  FakePlatform Platform;
  ClaimStore Store(Platform.hooks(), optionsWithoutDelays());
  Claim Ended =
      *runCoroutine([&] { return Store.claim(Key, attempt("first")); });
  Ended.State_ = ClaimState::Answered;
  Ended.Answer_.Status_ = 201;
  Ended.Answer_.Body_ = std::string("\x00\xff\x80text", 7);
  boost::asio::io_context Context;
  boost::asio::co_spawn(
      Context, [&] { return Store.finish(Key, Ended); },
      [](std::exception_ptr) {});
  Context.run();
  auto Found = runCoroutine([&] { return Store.find(Key); });
  REQUIRE(Found.has_value());
  REQUIRE(Found->has_value());
  CHECK((*Found)->State_ == ClaimState::Answered);
  CHECK((*Found)->Answer_.Status_ == 201);
  CHECK((*Found)->Answer_.Body_ == Ended.Answer_.Body_);
}
