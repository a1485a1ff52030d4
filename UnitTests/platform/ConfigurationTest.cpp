#include "platform/Configuration.h"

#include "Common/Hash.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace samphireshunt;
using std::chrono::milliseconds;
using Json = nlohmann::json;

namespace {

Json example() {
  return Json::parse(R"({"version":7,
    "routes":[
      {"name":"r-1","hostname":"a.example","prefix":"/s/","kind":"streaming",
       "timeout-ms":6000,"goal-ms":800,"priority":0,"attempts":1,
       "anonymous":false,"sticky":true,"resumable":false,"gap-target-ms":400,
       "backends":[{"service":"engines","weight":90},
                   {"service":"plain","weight":10}]},
      {"name":"r-2","hostname":"a.example","prefix":"/u/","kind":"unsafe",
       "timeout-ms":800,"priority":2,"service":"plain","attempts":3}],
    "services":[
      {"name":"engines","health-path":"/healthz","max-conns":490,
       "backend":{"batch-size":7,"kv-capacity":187300}},
      {"name":"plain","max-conns":100}],
    "limits":{"max-header-bytes":16384,"max-body-bytes":4194304,
              "header-timeout-ms":3000,"idle-timeout-ms":15000},
    "tenants":[{"name":"t-1","api-keys":["key-a","key-b"],"unit":"tokens",
                "plain-tokens":200,"rate-per-s":153443,"burst":1000}]})");
}

std::shared_ptr<const Document> readExample() {
  auto Read = platform::readConfiguration(example().dump());
  REQUIRE(Read.has_value());
  CHECK(Read->Version_ == DocumentVersion(7));
  return Read->Document_;
}

} // namespace

TEST_CASE("a configuration becomes a document with forwarding rules") {
  auto Document = readExample();
  const Route *Split = Document->route("/s/1", "a.example:80");
  REQUIRE(Split);
  const ForwardingRule &Rule = *Split->Forwarding_;
  CHECK(Rule.Kind_ == RequestKind::Stream);
  CHECK_FALSE(Rule.repeatable());
  CHECK(Rule.Timeout_ == milliseconds(6000));
  CHECK(Rule.Objective_ == milliseconds(800));
  CHECK(Rule.MaxEventGap_ == milliseconds(400));
  CHECK(Rule.Targets_.size() == 2);
  CHECK(Rule.Targets_[0].Weight_ == 90);
  CHECK(Rule.Tier_ == TierIndex(0));
  const Route *Unsafe = Document->route("/u/x", "a.example");
  REQUIRE(Unsafe);
  CHECK(Unsafe->Forwarding_->Kind_ == RequestKind::NonIdempotent);
  CHECK(Unsafe->Forwarding_->Tier_ == TierIndex(1));
  CHECK(Document->route("/u/x", "b.example") == nullptr);
  CHECK(Document->pool(PoolName("engines"))->CacheTokens_ == Tokens(187300));
  CHECK(Document->Limits_.IdleTimeout_ == milliseconds(15000));
}

TEST_CASE("keys are kept as digests, allotments in their unit") {
  auto Document = readExample();
  const Customer *Known = Document->customerByKeyDigest(sha256Hex("key-b"));
  REQUIRE(Known);
  CHECK(Known->Name_ == CustomerName("t-1"));
  CHECK(Known->Allotment_.CountsTokens_);
  CHECK(Known->Allotment_.PerSecond_ == 153443);
  CHECK(Known->Allotment_.TokensOfOther_ == Tokens(200));
  CHECK(Document->customerByKeyDigest(sha256Hex("key-c")) == nullptr);
}

TEST_CASE("a kind that is not known is never repeated") {
  Json Changed = example();
  Changed["routes"][1]["kind"] = "new-kind";
  auto Read = platform::readConfiguration(Changed.dump());
  REQUIRE(Read.has_value());
  const Route *Found = Read->Document_->route("/u/", "a.example");
  CHECK_FALSE(Found->Forwarding_->repeatable());
}

TEST_CASE("what can't be read is a numbered failure") {
  CHECK(platform::readConfiguration("{").error().Code_ ==
        ResultCode::DocumentSyntax);
  CHECK(platform::readConfiguration("[]").error().Code_ ==
        ResultCode::DocumentSyntax);
  for (const char *Field : {"version", "routes", "services"}) {
    Json Changed = example();
    Changed.erase(Field);
    CHECK(platform::readConfiguration(Changed.dump()).error().Code_ ==
          ResultCode::DocumentSchema);
  }
  Json Changed = example();
  Changed["routes"][0]["hostname"] = 5;
  CHECK(platform::readConfiguration(Changed.dump()).error().Code_ ==
        ResultCode::DocumentSchema);
}

namespace {

Json directoryEntry() {
  return {{"service", "engines"}, {"address", "10.1.2.3:80"},
          {"zone", "z"},          {"batch-size", 7},
          {"state", "ready"},     {"version", "v1"},
          {"warmup-left-ms", 0},  {"sequence", 4},
          {"born", 1764700000123}};
}

} // namespace

TEST_CASE("an entry of the directory becomes a backend server") {
  Json Entry = directoryEntry();
  Entry["state"] = "draining";
  auto Read = platform::readServer("i-1", Entry.dump());
  REQUIRE(Read.has_value());
  CHECK(Read->Pool_ == PoolName("engines"));
  CHECK(Read->Server_.Name_ == ServerName("i-1"));
  CHECK(Read->Server_.MaxInFlight_ == 7);
  CHECK(Read->Server_.Leaving_);
  CHECK(Read->Server_.Incarnation_ == Incarnation(1764700000123));
  Entry.erase("address");
  CHECK(platform::readServer("i-1", Entry.dump()).error().Code_ ==
        ResultCode::DocumentSchema);
  Entry["address"] = "nowhere";
  CHECK(platform::readServer("i-1", Entry.dump()).error().Code_ ==
        ResultCode::DocumentSchema);
}

TEST_CASE("an engine that does not tell its start is one process") {
  Json Entry = directoryEntry();
  Entry.erase("born");
  auto Read = platform::readServer("i-1", Entry.dump());
  REQUIRE(Read.has_value());
  CHECK(Read->Server_.Incarnation_ == Incarnation(0));
}

TEST_CASE("what another writer left in the directory names no server") {
  // Symptom: requests go to an address where no engine is, or to one that
  // leaves.
  // Sequence: an entry has a state that is not known, or none, or a field of
  // another type.
  // Cause: whatever was not "draining" was taken for ready, and a strange
  // number of places for a default.
  const std::vector<std::pair<std::string, Json>> Wrong = {
      {"state", "asleep"},
      {"state", 1},
      {"service", 7},
      {"service", ""},
      {"address", "10.1.2.3"},
      {"address", nullptr},
      {"zone", Json::array()},
      {"batch-size", -1},
      {"batch-size", 0},
      {"batch-size", 2.5},
      {"batch-size", "7"},
      {"batch-size", 1e18},
      {"sequence", -4},
      {"sequence", "4"},
      {"version", 3},
      {"warmup-left-ms", "0"},
      {"warmup-left-ms", -1},
      {"born", "yesterday"},
      {"born", 1764700000123.5},
      {"born", -1},
      {"state", {{"at", "ready"}}}};
  for (const auto &Change : Wrong) {
    CAPTURE(Change.first);
    CAPTURE(Change.second.dump());
    Json Entry = directoryEntry();
    Entry[Change.first] = Change.second;
    auto Read = platform::readServer("i-1", Entry.dump());
    REQUIRE_FALSE(Read.has_value());
    CHECK(Read.error().Code_ == ResultCode::DocumentSchema);
  }
  for (const char *Field : {"state", "service", "address", "zone", "batch-size",
                            "sequence", "version", "warmup-left-ms"}) {
    CAPTURE(Field);
    Json Entry = directoryEntry();
    Entry.erase(Field);
    CHECK_FALSE(platform::readServer("i-1", Entry.dump()).has_value());
  }
}

TEST_CASE("no bytes of an entry are taken for a server, or break the reader") {
  bool Holds = rc::check([](const std::string &Bytes) {
    RC_ASSERT(!platform::readServer("i-1", Bytes).has_value());
  });
  CHECK(Holds);
  bool HoldsCut = rc::check([] {
    std::string Text = directoryEntry().dump();
    auto Place = *rc::gen::inRange<std::size_t>(0, Text.size());
    Text[Place] = *rc::gen::arbitrary<char>();
    auto Read = platform::readServer("i-1", Text);
    if (Read)
      RC_ASSERT(Read->Server_.MaxInFlight_ >= 1U);
  });
  CHECK(HoldsCut);
}
