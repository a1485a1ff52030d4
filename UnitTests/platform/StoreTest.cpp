/// \file
/// Tests of the client of the platform's store, also with a faulty store.

#include "platform/Store.h"

#include "UnitTests/platform/FakeStore.h"
#include "UnitTests/platform/StoreEntries.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <doctest/doctest.h>

using namespace samphireshunt;
using namespace samphireshunt::tests;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds CallTime{200};

StorePosition at(std::uint64_t Number) {
  return {StoreEra(), Revision(Number)};
}

class StoreFixture {
public:
  StoreFixture()
      : Store_(Context_),
        Hooks_(platform::storeHooks(Store_.address(), CallTime)) {}

  /// Begins a call and stores its result in \p Got, which must outlive the
  /// call.
  template <class Value, class Call>
  void begin(Call Begin, std::optional<Result<Value>> &Got) {
    auto Run = [Begin, &Got]() -> Awaitable<void> {
      auto Answer = co_await Begin();
      Got.emplace(std::move(Answer));
    };
    boost::asio::co_spawn(Context_, Run, boost::asio::detached);
  }
  /// \returns the result of a call after waiting for it.
  template <class Value, class Call> Result<Value> wait(Call Begin) {
    std::optional<Result<Value>> Got;
    begin<Value>(Begin, Got);
    REQUIRE(runUntil(Context_, [&] { return Got.has_value(); }));
    return std::move(*Got);
  }
  Result<KeyValueList> list(const std::string &Prefix) {
    return wait<KeyValueList>([&] { return Hooks_.List_(Prefix); });
  }
  Result<KeyValueList> watch(StorePosition After, milliseconds Wait) {
    return wait<KeyValueList>([&] { return Hooks_.Watch_("", After, Wait); });
  }
  Result<StorePosition> put(const std::string &Key, const std::string &Value,
                            StorePosition Expected) {
    KeyValueWrite Write;
    Write.Key_ = Key;
    Write.Value_ = Value;
    Write.Expected_ = Expected;
    return wait<StorePosition>([&] { return Hooks_.Put_(Write); });
  }

  boost::asio::io_context Context_;
  FakeStore Store_;
  PlatformHooks Hooks_;
};

} // namespace

TEST_CASE("values of any bytes come back as they were written") {
  StoreFixture Test;
  for (const std::string &Value :
       {std::string(), std::string("a"), std::string("ab"), std::string("abc"),
        std::string("\0\xff\n", 3)}) {
    Test.Store_.remove("k");
    REQUIRE(Test.put("k", Value, at(0)).has_value());
    CHECK(Test.Store_.get("k") == Value);
    auto Got = Test.wait<std::optional<KeyValue>>(
        [&] { return Test.Hooks_.Get_("k"); });
    REQUIRE(Got.has_value());
    CHECK((*Got)->Value_ == Value);
  }
}

TEST_CASE("a list is read over all its pages, from the first page's revision") {
  // The pages of a list are not a consistent snapshot. A key of the first page
  // may change while the next one is read. A watch that began at the last
  // page's revision would never report this change.
  StoreFixture Test;
  Test.Store_.PageSize_ = 2;
  for (const char *Key : {"a/1", "a/2", "a/3", "a/4", "a/5", "b/1"})
    Test.Store_.put(Key, Key);
  auto Listed = Test.list("a/");
  REQUIRE(Listed.has_value());
  CHECK(Listed->Entries_.size() == 5);
  CHECK(Test.Store_.calls("/-/kv-range") == 3);
}

TEST_CASE("a watch reports writes and removals") {
  StoreFixture Test;
  Test.Store_.put("k", "old");
  auto Listed = Test.list("");
  Test.Store_.put("k", "new");
  Test.Store_.remove("k");
  auto Changes = Test.watch(Listed->Position_, milliseconds(1000));
  REQUIRE(Changes.has_value());
  REQUIRE_FALSE(Changes->Entries_.empty());
  CHECK(Changes->Entries_.back().Deleted_);
  auto Nothing = Test.watch(Changes->Position_, milliseconds(10));
  REQUIRE(Nothing.has_value());
  CHECK(Nothing->Entries_.empty());
}

TEST_CASE("dropped history is distinguished from an outage") {
  StoreFixture Test;
  Test.Store_.put("k", "v");
  Test.Store_.dropHistory();
  CHECK(Test.watch(at(1), milliseconds(10)).error().Code_ ==
        ResultCode::HistoryLost);
  for (int Status : {429, 503}) {
    Test.Store_.FailWith_ = Status;
    CHECK(Test.list("").error().Code_ == ResultCode::PlatformUnavailable);
  }
  Test.Store_.FailWith_ = 0;
  Test.Store_.Silent_ = true;
  CHECK(Test.list("").error().Code_ == ResultCode::PlatformUnavailable);
}

TEST_CASE("an answer whose members are of another type is an outage") {
  // A response of the store has a string where a number is expected. An
  // exception of the parser would silently end the coroutine that follows the
  // store, and the daemon would go on with outdated state for good without a
  // log entry.
  StoreFixture Test;
  for (const char *Body :
       {R"({"entries":[],"current-rev":"1"})",
        R"({"entries":[],"current-rev":-1})",
        R"({"entries":[{"key":"k"}],"has-more":"no"})", R"({"entries":7})",
        R"({"entries":{"key":"k"}})", R"({"entries":"k"})"}) {
    CAPTURE(Body);
    Test.Store_.AnswerWith_ = Body;
    CHECK(Test.list("").error().Code_ == ResultCode::PlatformUnavailable);
  }
  Test.Store_.AnswerWith_ = R"({"events":[],"current-rev":[]})";
  CHECK(Test.watch(at(1), milliseconds(10)).error().Code_ ==
        ResultCode::PlatformUnavailable);
  for (const char *Body : {R"({"key":{},"value":"","revision":1})",
                           R"({"key":"k","value":"?","revision":1})"}) {
    Test.Store_.AnswerWith_ = Body;
    auto Got = Test.wait<std::optional<KeyValue>>(
        [&] { return Test.Hooks_.Get_("k"); });
    CHECK(Got.error().Code_ == ResultCode::PlatformUnavailable);
  }
  Test.Store_.AnswerWith_ = R"({"revision":"1"})";
  CHECK(Test.put("k", "v", at(0)).error().Code_ ==
        ResultCode::PlatformUnavailable);
}

TEST_CASE("an item that can't be read is refused alone") {
  // One odd item made each list and each watch fail, so the daemons followed
  // nothing as long as it stood.
  StoreFixture Test;
  struct Case {
    const char *Item_;
    std::string Key_;
    std::uint64_t Revision_;
  };
  for (const Case &Odd : std::initializer_list<Case>{
           {R"({"key":"k","value":"no base64!","revision":4})", "k", 4},
           {R"({"key":"k","value":7,"revision":4})", "k", 4},
           {R"({"key":"k","value":[[[["x"]]]],"revision":4})", "k", 4},
           {R"({"key":"k","value":"","revision":"4"})", "k", 0},
           {R"({"key":"k","value":"","revision":{}})", "k", 0},
           {R"({"key":"k","value":"","revision":-1})", "k", 0},
           {R"({"key":"k","value":"","revision":1e300})", "k", 0},
           {R"({"key":"k","tombstone":"yes","revision":4})", "k", 4},
           {"{\"key\":\"k\",\"value\":\"\xff\",\"revision\":4}", "k", 4},
           {"{\"key\":\"k\xff\",\"value\":\"\",\"revision\":4}",
            "k\xef\xbf\xbd", 4},
           {R"({"key":5,"value":"","revision":4})", "", 4},
           {R"({"value":"","revision":4})", "", 4},
           {"[]", "", 0},
           {"null", "", 0}}) {
    CAPTURE(Odd.Item_);
    auto Check = [&](const Result<KeyValueList> &Read) {
      REQUIRE(Read.has_value());
      CHECK(Read->Position_ == at(9));
      CHECK(Read->Entries_.size() == 2);
      REQUIRE(Read->Refused_.contains(Odd.Key_));
      CHECK(Read->Refused_.at(Odd.Key_).Position_ == at(Odd.Revision_));
      CHECK_FALSE(Read->Refused_.at(Odd.Key_).Detail_.empty());
      CHECK(Read->hasAllKeys() == !Odd.Key_.empty());
    };
    std::string Items = R"([{"key":"a","value":"","revision":1},)" +
                        std::string(Odd.Item_) +
                        R"(,{"key":"z","value":"","revision":2}])";
    Test.Store_.AnswerWith_ =
        R"({"current-rev":9,"has-more":false,"entries":)" + Items + "}";
    Check(Test.list(""));
    Test.Store_.AnswerWith_ = R"({"current-rev":9,"events":)" + Items + "}";
    Check(Test.watch(at(1), milliseconds(10)));
  }
}

TEST_CASE("of two items with one key the later one counts") {
  StoreFixture Test;
  const std::string Good = R"({"key":"k","value":"","revision":4})";
  const std::string Odd = R"({"key":"k","value":"?","revision":3})";
  auto Read = [&](const std::string &Items) {
    Test.Store_.AnswerWith_ = R"({"current-rev":9,"events":[)" + Items + "]}";
    return Test.watch(at(1), milliseconds(10));
  };
  CHECK(Read(Odd + "," + Good)->Refused_.empty());
  CHECK(Read(Good + "," + Odd)->Refused_.size() == 1);
}

TEST_CASE("a page whose last item has no key ends the list as an outage") {
  // The rest of the list would be taken for removed.
  StoreFixture Test;
  Test.Store_.AnswerWith_ =
      R"({"current-rev":9,"has-more":true,"entries":[{"value":""}]})";
  CHECK(Test.list("").error().Code_ == ResultCode::PlatformUnavailable);
}

TEST_CASE("a write that is refused is distinguished from one whose answer is "
          "lost") {
  StoreFixture Test;
  Test.Store_.put("k", "theirs");
  CHECK(Test.put("k", "ours", at(0)).error().Code_ ==
        ResultCode::VersionConflict);
  Test.Store_.LoseWriteAnswers_ = 1;
  CHECK(Test.put("n", "ours", at(0)).error().Code_ ==
        ResultCode::PlatformUnavailable);
  CHECK(Test.Store_.get("n") == "ours");
}

TEST_CASE("a large answer over a slow link is waited for while it comes") {
  // A large configuration takes a slow link longer than the timeout of a call.
  // If the timeout applied to the whole response, it would be aborted while it
  // arrives and requested again: daemons with slow links would never get the
  // configuration and repeatedly log that the service timed out.
  StoreFixture Test;
  constexpr std::size_t Large = 100000;
  Test.Store_.put("k", std::string(Large, 'v'));
  Test.Store_.BytesPerSecond_ = Large * 2;
  auto Begin = std::chrono::steady_clock::now();
  auto Listed = Test.list("");
  REQUIRE(Listed.has_value());
  CHECK(Listed->Entries_.front().Value_.size() == Large);
  // The call took longer than the time that it may be silent.
  CHECK(std::chrono::steady_clock::now() - Begin > CallTime * 2);
  auto Changes = Test.watch(at(1), milliseconds(0));
  REQUIRE(Changes.has_value());
  CHECK(Changes->Entries_.size() == 1);
}

TEST_CASE("a response that stops arriving ends its call within its timeout") {
  StoreFixture Test;
  constexpr std::size_t Large = 100000;
  Test.Store_.put("k", std::string(Large, 'v'));
  Test.Store_.BytesPerSecond_ = Large * 2;
  std::optional<Result<KeyValueList>> Got;
  Test.begin<KeyValueList>([&] { return Test.Hooks_.List_(""); }, Got);
  REQUIRE(runUntil(Test.Context_,
                   [&] { return Test.Store_.bytesSent() > Large / 2; }));
  CHECK(Test.Hooks_.AnswerArriving_());
  Test.Store_.Silent_ = true;
  auto Begin = std::chrono::steady_clock::now();
  REQUIRE(runUntil(Test.Context_, [&] { return Got.has_value(); }));
  CHECK(Got->error().Code_ == ResultCode::PlatformUnavailable);
  CHECK(std::chrono::steady_clock::now() - Begin < CallTime * 2);
  CHECK_FALSE(Test.Hooks_.AnswerArriving_());
}

TEST_CASE("a response that keeps arriving ends at the limit for the response") {
  StoreFixture Test;
  constexpr std::size_t Large = 600000;
  Test.Store_.put("k", std::string(Large, 'v'));
  // The response takes more than 30 seconds, with a packet every 70 ms.
  Test.Store_.BytesPerSecond_ = Large / 30;
  Test.Hooks_ =
      platform::storeHooks(Test.Store_.address(), CallTime, CallTime * 3);
  auto Begin = std::chrono::steady_clock::now();
  CHECK(Test.list("").error().Code_ == ResultCode::PlatformUnavailable);
  CHECK(std::chrono::steady_clock::now() - Begin > CallTime * 2);
}

// The store is restored from a backup between two pages of a list. Joining them
// would give a state that the store never had.
TEST_CASE("pages of two eras are not joined") {
  StoreFixture Test;
  Test.Store_.PageSize_ = 1;
  Test.Store_.put("a", "1");
  Test.Store_.put("b", "1");
  Test.Store_.BeforePage_ = [&](std::size_t Page) {
    if (Page == 1 && Test.Store_.Era_.empty())
      Test.Store_.Era_ = "1";
  };
  CHECK(Test.list("").error().Code_ == ResultCode::StoreRestored);
  auto Again = Test.list("");
  REQUIRE(Again.has_value());
  CHECK(Again->Position_.Era_ == StoreEra(1));
  CHECK(Again->Entries_.size() == 2);
}

// A restored store assigns revisions again. A conditional write may succeed
// because the expected revision now belongs to another writer's value.
TEST_CASE("a conditional write that meets another era's revision counts as "
          "unknown") {
  StoreFixture Test;
  Test.Store_.put("k", "old");
  Test.Store_.takeBackup();
  auto Written = Test.put("k", "ours", at(2));
  REQUIRE(Written.has_value());
  Test.Store_.restoreBackup();
  Test.Store_.put("k", "another's");
  CHECK(Test.put("k", "ours again", *Written).error().Code_ ==
        ResultCode::StoreRestored);
  // Creating a key expects no revision and thus no particular era.
  CHECK(Test.put("n", "ours", at(0)).has_value());
}

TEST_CASE("a store without eras is in era 0, one with a bad era has none") {
  StoreFixture Test;
  CHECK(Test.list("")->Position_.Era_ == StoreEra(0));
  Test.Store_.Era_ = "18446744073709551615";
  CHECK(Test.list("")->Position_.Era_ == StoreEra(18446744073709551615ULL));
  for (const char *Bad : {"x", "-1", "1 2", "1.0", "18446744073709551616"}) {
    Test.Store_.Era_ = Bad;
    CHECK(Test.list("").error().Code_ == ResultCode::BadStoreEra);
    CHECK(Test.watch(at(1), milliseconds(1)).error().Code_ ==
          ResultCode::BadStoreEra);
  }
}

TEST_CASE("changes that are too long to be read are listed instead") {
  // Guards against a store whose answers take a daemon's memory, and against a
  // view that stays as it is because the same changes are asked for again.
  StoreFixture Test;
  Test.Store_.AnswerWith_ =
      "{\"events\":[\"" + std::string(MaxStoreAnswerBytes, 'x') + "\"]}";
  auto Changes = Test.watch(at(1), milliseconds(0));
  REQUIRE(Changes.has_error());
  CHECK(Changes.error().Code_ == ResultCode::HistoryLost);
  auto Listed = Test.list("");
  REQUIRE(Listed.has_error());
  CHECK(Listed.error().Code_ == ResultCode::AnswerTooLarge);
}

TEST_CASE("a value that is too large is refused alone, by list, by pages and "
          "by watch") {
  // One value over the bound made each answer with it fail: the daemons that
  // read the store took it for lost, as long as the value stood.
  constexpr std::size_t Bound = 30000;
  constexpr std::size_t Size = 3 * Bound;
  StoreFixture Test;
  Test.Hooks_ =
      platform::storeHooks(Test.Store_.address(), CallTime,
                           platform::DefaultMaxBodyTime, StoreLimits{Bound});
  Test.Store_.put("a", "first");
  Test.Store_.put("k", std::string(Size, 'v'));
  Test.Store_.put("z", std::string(Bound, 'v'));
  auto Check = [&](const Result<KeyValueList> &Read) {
    REQUIRE(Read.has_value());
    CHECK(Read->Position_ == at(4));
    REQUIRE(Read->Entries_.size() == 2);
    CHECK(Read->Entries_[0].Value_ == "first");
    CHECK(Read->Entries_[1].Value_.size() == Bound);
    REQUIRE(Read->Refused_.size() == 1);
    REQUIRE(Read->hasAllKeys());
    const RefusedItem &Item = Read->Refused_.at("k");
    CHECK(Item.Code_ == ResultCode::ValueTooLarge);
    CHECK(Item.Position_ == at(3));
    CHECK(Item.Size_ == Size);
    CHECK(Item.Bound_ == Bound);
  };
  Check(Test.list(""));
  Check(Test.watch(at(1), milliseconds(0)));
  Test.Store_.PageSize_ = 1;
  Check(Test.list(""));
  Test.Store_.put("k", "smaller");
  auto Changes = Test.watch(at(4), milliseconds(0));
  REQUIRE(Changes.has_value());
  CHECK(Changes->Refused_.empty());
  CHECK(Changes->Entries_.front().Value_ == "smaller");
}

TEST_CASE("an answer with a value that is too large has to be whole JSON") {
  // A cut answer would count as a list without the keys that are cut off.
  StoreFixture Test;
  Test.Hooks_ =
      platform::storeHooks(Test.Store_.address(), CallTime,
                           platform::DefaultMaxBodyTime, StoreLimits{10000});
  std::string Begin = R"({"current-rev":9,"entries":[{"key":"k","value":")" +
                      std::string(50000, 'A');
  for (const char *End : {"", "\"", "\"}", "\"}]", "\"}}]}", "\"x}]}",
                          "\\q\"}]}", "\"}]}}", "\"},]}"}) {
    CAPTURE(End);
    Test.Store_.AnswerWith_ = Begin + End;
    CHECK(Test.list("").error().Code_ == ResultCode::PlatformUnavailable);
  }
  Test.Store_.AnswerWith_ = Begin + "\"}]}";
  CHECK(Test.list("").has_value());
}

TEST_CASE(
    "many long values in a list are bounded in sum, and short ones read") {
  StoreFixture Test;
  constexpr std::size_t Size = 1000000;
  for (const char *Key : {"b", "c", "d", "e", "f", "g"})
    Test.Store_.put(Key, std::string(Size, 'v'));
  Test.Store_.put("a", "short");
  Test.Store_.put("z", "short");
  Test.Store_.PageSize_ = 2;
  auto Listed = Test.list("");
  REQUIRE(Listed.has_value());
  CHECK(Listed->Entries_.size() + Listed->Refused_.size() == 8);
  CHECK(Listed->Refused_.size() == 3);
  CHECK(Listed->Entries_.back().Key_ == "z");
}

TEST_CASE("an invalid configuration that is too large is refused as invalid") {
  // Guards against large garbage that counts as a version which replaces the
  // one in force.
  constexpr std::size_t Bound = 20000;
  StoreFixture Test;
  Test.Hooks_ =
      platform::storeHooks(Test.Store_.address(), CallTime,
                           platform::DefaultMaxBodyTime, StoreLimits{Bound});
  const std::string Padding(3 * Bound, ' ');
  const std::string Valid = configuration(5, 300) + Padding;
  auto Refused = [&](const std::string &Value) {
    Test.Store_.put("op/config", Value);
    auto Listed = Test.list("");
    REQUIRE(Listed.has_value());
    REQUIRE(Listed->Refused_.contains("op/config"));
    return Listed->Refused_.at("op/config").Code_;
  };
  CHECK(Refused(Valid) == ResultCode::ValueTooLarge);
  for (const std::string &Odd :
       {Valid.substr(0, 25000), "x" + Valid, Valid + "}", std::string(Padding),
        std::string(3 * Bound, '['), std::string(3 * Bound, '\xff')})
    CHECK(Refused(Odd) == ResultCode::DocumentSyntax);
  std::string Odd = Valid;
  Odd.replace(Odd.find("h299.example") - 1, 14, "true");
  CHECK(Refused(Odd) == ResultCode::DocumentSchema);
  CHECK(Refused(R"({"version":-1,"routes":[],"services":[]})" + Padding) ==
        ResultCode::DocumentSchema);
  // What it holds back must be bounded, so this one is not looked into.
  CHECK(Refused(R"({"x":")" + std::string(2000000, 'x')) ==
        ResultCode::ValueTooLarge);
}
