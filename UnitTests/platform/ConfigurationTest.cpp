#include "platform/Configuration.h"

#include "Common/Hash.h"

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <algorithm>

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
  CHECK_FALSE(Rule.retryable());
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
  REQUIRE(Document->Pools_.size() == 2);
  CHECK(Document->Pools_[0].Name_ == PoolName("engines"));
  CHECK(Document->Pools_[0].CacheTokens_ == Tokens(187300));
  CHECK(Document->Limits_.IdleTimeout_ == milliseconds(15000));
}

TEST_CASE("keys are stored as digests, allotments in their unit") {
  auto Document = readExample();
  const Customer *Known = Document->customerByKeyDigest(sha256Hex("key-b"));
  REQUIRE(Known);
  CHECK(Known->Name_ == CustomerName("t-1"));
  CHECK(Known->Allotment_.CountsTokens_);
  CHECK(Known->Allotment_.PerSecond_ == 153443);
  CHECK(Known->Allotment_.DefaultTokens_ == Tokens(200));
  CHECK(Document->customerByKeyDigest(sha256Hex("key-c")) == nullptr);
}

TEST_CASE("a request of an unknown kind is never retried") {
  Json Changed = example();
  Changed["routes"][1]["kind"] = "new-kind";
  auto Read = platform::readConfiguration(Changed.dump());
  REQUIRE(Read.has_value());
  const Route *Found = Read->Document_->route("/u/", "a.example");
  CHECK_FALSE(Found->Forwarding_->retryable());
}

TEST_CASE("an invalid configuration is reported with a result code") {
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

/// All properties of a route that affect requests, as text.
std::string textOf(const Route &Known) {
  const ForwardingRule &Rule = *Known.Forwarding_;
  std::string Text = fmt::format(
      "{} {} {} {} {} {} {} {} {} {} {} {} {}", Known.Name_, *Known.Host_,
      Known.PathPrefix_, Known.Pool_->str(), Known.NonIdempotent_,
      static_cast<int>(Rule.Kind_), Rule.Resumable_, Rule.MaxAttempts_,
      Rule.Timeout_.count(), Rule.Objective_.count(), Rule.MaxEventGap_.count(),
      Rule.Tier_.count(), Rule.Anonymous_);
  for (const WeightedPool &Target : Rule.Targets_)
    Text += fmt::format(" {}:{}", Target.Pool_.str(), Target.Weight_);
  return Text;
}

const std::string NotRead = "not read";

std::string textOf(const Result<ReadConfiguration> &Read) {
  if (!Read)
    return NotRead;
  const Document &Whole = *Read->Document_;
  std::string Text = fmt::format("{} {} {} {}", Read->Version_.count(),
                                 fmt::join(Whole.Tiers_, ","),
                                 Whole.Pools_.size(), Whole.Customers_.size());
  for (const auto &Known : Whole.Routes_)
    Text += "\n" + textOf(*Known);
  return Text;
}

/// The content of \p Text after a full parse, which does not depend on its
/// layout.
std::string textOfJson(const std::string &Text) {
  Json Root = Json::parse(Text, nullptr, false);
  return Root.is_object() ? textOf(platform::readConfiguration(Root.dump()))
                          : NotRead;
}

/// The example configuration with \p Count routes.
Json exampleWith(int Count) {
  Json Built = example();
  Json First = Built["routes"][0];
  Built["routes"] = Json::array();
  for (int Index = 0; Index < Count; ++Index) {
    First["name"] = fmt::format("r-{}", Index);
    First["prefix"] = fmt::format("/p/{}/", Index);
    First["priority"] = Index % 3;
    Built["routes"].push_back(First);
  }
  return Built;
}

} // namespace

TEST_CASE("a version reuses the unchanged routes of the version before") {
  // Parsing all of 4,200 routes when one changes blocks the daemon's thread for
  // 26 ms of processor time, over 200 ms on a VM with an eighth of a core.
  // Requests wait meanwhile, and peers consider the daemon dead.
  platform::ConfigurationReader Reader;
  Json Written = exampleWith(300);
  auto Before = Reader.read(Written.dump());
  REQUIRE(Before.has_value());
  Written["version"] = 8;
  Written["routes"][7]["timeout-ms"] = 1234;
  Written["routes"].erase(20);
  auto After = Reader.read(Written.dump());
  REQUIRE(After.has_value());
  CHECK(textOf(After) == textOf(platform::readConfiguration(Written.dump())));
  const auto &Old = Before->Document_->Routes_;
  const auto &New = After->Document_->Routes_;
  REQUIRE(New.size() == 299);
  auto IsKnown = [&](const auto &Known) {
    return std::ranges::count(Old, Known);
  };
  CHECK(std::ranges::count_if(New, IsKnown) == 298);
  CHECK(New[7]->Forwarding_->Timeout_ == milliseconds(1234));
  CHECK(Old[7]->Forwarding_->Timeout_ == milliseconds(6000));
}

TEST_CASE(
    "a tier that is added or removed changes the tiers of reused routes") {
  platform::ConfigurationReader Reader;
  Json Written = exampleWith(3);
  auto Before = Reader.read(Written.dump());
  REQUIRE(Before.has_value());
  Written["routes"].erase(1);
  auto After = Reader.read(Written.dump());
  REQUIRE(After.has_value());
  CHECK(After->Document_->Tiers_ == std::vector<std::string>{"0", "2"});
  CHECK(After->Document_->Routes_[1]->Forwarding_->Tier_ == TierIndex(1));
  // Requests may still use routes of the version before, which must not change.
  CHECK(Before->Document_->Routes_[2]->Forwarding_->Tier_ == TierIndex(2));
}

TEST_CASE("an invalid version does not affect the next one") {
  platform::ConfigurationReader Reader;
  Json Written = exampleWith(3);
  REQUIRE(Reader.read(Written.dump()).has_value());
  Json Wrong = Written;
  Wrong["routes"][1].erase("hostname");
  CHECK(Reader.read(Wrong.dump()).error().Code_ == ResultCode::DocumentSchema);
  CHECK(textOf(Reader.read(Written.dump())) ==
        textOf(platform::readConfiguration(Written.dump())));
}

TEST_CASE("a route with a wrong or missing member is rejected") {
  // The first entry of the list of services becomes the route's service.
  // Reading it from an empty list would use arbitrary memory as the service.
  const std::vector<std::pair<std::string, Json>> Wrong = {
      {"name", 5},
      {"hostname", nullptr},
      {"prefix", Json::array()},
      {"kind", true},
      {"resumable", 1},
      {"anonymous", "no"},
      {"attempts", "2"},
      {"attempts", -1},
      {"priority", 1e18},
      {"priority", Json::object()},
      {"backends", Json::array()},
      {"backends", "engines"},
      {"backends", Json::object()},
      {"backends", Json::array({5})},
      {"backends", Json::array({Json::array({5})})},
      {"backends", Json::array({{{"weight", 1}}})},
      {"backends", Json::array({{{"service", 1}}})},
      {"backends", Json::array({{{"service", "a"}, {"weight", "1"}}})}};
  for (const auto &Change : Wrong) {
    CAPTURE(Change.first);
    CAPTURE(Change.second.dump());
    Json Changed = example();
    Changed["routes"][0][Change.first] = Change.second;
    auto Read = platform::readConfiguration(Changed.dump());
    REQUIRE_FALSE(Read.has_value());
    CHECK(Read.error().Code_ == ResultCode::DocumentSchema);
    CHECK(Read.error().Detail_ != "");
  }
  for (const char *Field : {"name", "hostname", "prefix", "kind", "service"}) {
    CAPTURE(Field);
    Json Changed = example();
    Changed["routes"][1].erase(Field);
    CHECK_FALSE(platform::readConfiguration(Changed.dump()).has_value());
  }
}

TEST_CASE("members of a route that are absent, unknown or not durations have "
          "their defaults") {
  Json Changed = example();
  Json &Written = Changed["routes"][1];
  for (const char *Field : {"timeout-ms", "attempts", "priority"})
    Written.erase(Field);
  Written["goal-ms"] = nullptr;
  Written["gap-target-ms"] = "soon";
  Written["labels"] = {{"name", "x"}, {"backends", Json::array({1})}};
  Written["numbers"] = Json::array({1, {{"service", 2}}});
  auto Read = platform::readConfiguration(Changed.dump());
  REQUIRE(Read.has_value());
  const Route &Known = *Read->Document_->Routes_[1];
  CHECK(Known.Name_ == "r-2");
  const ForwardingRule &Rule = *Known.Forwarding_;
  CHECK(Rule.Timeout_ == milliseconds(30000));
  CHECK(Rule.Objective_ == milliseconds(30000));
  CHECK(Rule.MaxEventGap_ == milliseconds(0));
  CHECK(Rule.MaxAttempts_ == 1);
  CHECK(Rule.Tier_ == TierIndex(0));
  REQUIRE(Rule.Targets_.size() == 1);
  CHECK(Rule.Targets_[0].Pool_ == PoolName("plain"));
}

TEST_CASE("a configuration with an unusual layout is read like any other") {
  std::string Plain = example().dump();
  std::string Expected = textOf(platform::readConfiguration(Plain));
  auto Read = [](const std::string &Text) {
    return textOf(platform::readConfiguration(Text));
  };
  CHECK(Read(example().dump(4)) == Expected);
  std::string Escaped = Plain;
  Escaped.replace(Escaped.find("\"routes\""), 8, "\"rout\\u0065s\"");
  CHECK(Read(Escaped) == Expected);
  // The last one of two lists of routes counts.
  std::string Doubled = "{\"routes\":[]," + Plain.substr(1);
  CHECK(Read(Doubled) == Expected);
  Json Quoted = example();
  Quoted["routes"][0]["name"] = "a \"}], b\\";
  CHECK(platform::readConfiguration(Quoted.dump())
            ->Document_->Routes_[0]
            ->Name_ == "a \"}], b\\");
  for (const std::string &Broken :
       {Plain + "x", Plain.substr(0, Plain.size() - 1)})
    CHECK(platform::readConfiguration(Broken).error().Code_ ==
          ResultCode::DocumentSyntax);
}

TEST_CASE("of two members of a route the last one counts, whatever the first") {
  // A member occurs twice in a route, the first time with a wrong type, or as a
  // split whose first entry has no service. JSON parsers accept this and use
  // the last one. If the reader of routes retained the problem of the first
  // one, the configuration would be rejected and the version before it would
  // stay active.
  const std::vector<std::pair<std::string, std::string>> Doubled = {
      {"name", "5"},
      {"attempts", "-1"},
      {"anonymous", "{}"},
      {"backends", "7"},
      {"backends", "[]"},
      {"backends", "[{\"weight\":1}]"},
      {"backends", "[{\"service\":1},[2]]"}};
  Json Written = example();
  std::string Route = Written["routes"][0].dump();
  std::string Expected = textOf(platform::readConfiguration(Written.dump()));
  REQUIRE(Expected != "not read");
  for (const auto &Member : Doubled) {
    CAPTURE(Member.first);
    CAPTURE(Member.second);
    std::string Text = Written.dump();
    auto Offset = Text.find(Route) + 1;
    Text.insert(Offset, "\"" + Member.first + "\":" + Member.second + ",");
    CHECK(textOf(platform::readConfiguration(Text)) == Expected);
  }
  std::string Text = Written.dump();
  auto Part = Text.find("{", Text.find("\"backends\"")) + 1;
  Text.insert(Part, R"("service":5,"weight":"1",)");
  CHECK(textOf(platform::readConfiguration(Text)) == Expected);
  std::string Last = Written.dump();
  auto End = Last.find(Route) + Route.size() - 1;
  Last.insert(End, R"(,"name":5)");
  CHECK(textOf(platform::readConfiguration(Last)) == "not read");
}

TEST_CASE("read after any version, a configuration matches its text") {
  bool Holds = rc::check([] {
    platform::ConfigurationReader Reader;
    std::string Text = exampleWith(3).dump();
    for (int Version = 0; Version < 3; ++Version) {
      RC_ASSERT(textOf(Reader.read(Text)) == textOfJson(Text));
      // Overwrites a byte, or duplicates or removes a piece of the text.
      auto Offset = *rc::gen::inRange<std::size_t>(0, Text.size());
      auto Length = *rc::gen::inRange<std::size_t>(0, Text.size() - Offset);
      switch (*rc::gen::inRange(0, 3)) {
      case 0:
        Text[Offset] = *rc::gen::element('"', '\\', ',', ':', '{', '}', '[',
                                         ']', '1', 'e', ' ');
        break;
      case 1:
        Text.insert(Offset, Text.substr(Offset, Length));
        break;
      default:
        Text.erase(Offset, Length);
      }
    }
  });
  CHECK(Holds);
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

TEST_CASE("an order to roll out is read, and bad ones are refused") {
  auto Order = platform::readRolloutOrder(
      "s", R"({"service":"s","to":"v2","duration-s":12.5})");
  REQUIRE(Order.has_value());
  CHECK((*Order == RolloutOrder{PoolName("s"), SoftwareVersion("v2"),
                                std::chrono::milliseconds(12500)}));
  // A time that is missing or nonsense would end a roll-out at once, or never.
  for (const char *Text :
       {"", "[]", R"({"to":"v2"})", R"({"duration-s":12})",
        R"({"to":"","duration-s":12})", R"({"to":2,"duration-s":12})",
        R"({"to":"v2","duration-s":0})", R"({"to":"v2","duration-s":-1})",
        R"({"to":"v2","duration-s":1e300})",
        R"({"to":"v2","duration-s":"12"})"})
    CHECK(!platform::readRolloutOrder("s", Text).has_value());
}

TEST_CASE("the status of a roll-out has the platform's words") {
  auto Layout = platform::rolloutLayout();
  RolloutRecord Record;
  Record.Target_ = SoftwareVersion("v2");
  using Stated = std::pair<RolloutStage, const char *>;
  for (const auto &[Stage, Word] :
       {Stated{RolloutStage::Canary, "running"},
        Stated{RolloutStage::Shifting, "running"},
        Stated{RolloutStage::Completed, "completed"},
        Stated{RolloutStage::Reverted, "reverted"}}) {
    Record.Stage_ = Stage;
    auto Text = Layout.WriteStatus_(PoolName("s"), Record);
    auto Status = nlohmann::json::parse(Text);
    CHECK(Status.at("state") == Word);
    CHECK(Status.at("to") == "v2");
  }
}

TEST_CASE("an engine that does not report its start is a single process") {
  Json Entry = directoryEntry();
  Entry.erase("born");
  auto Read = platform::readServer("i-1", Entry.dump());
  REQUIRE(Read.has_value());
  CHECK(Read->Server_.Incarnation_ == Incarnation(0));
}

TEST_CASE("an invalid entry of the directory is not used as a server") {
  // Another writer left an entry with a missing or unknown state or with a
  // field of a wrong type. If every state but "draining" counted as ready and
  // an invalid number of slots as a default, requests would be sent to an
  // address without an engine or to an engine that is leaving.
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

TEST_CASE("arbitrary bytes neither become a server nor break the reader") {
  bool Holds = rc::check([](const std::string &Bytes) {
    RC_ASSERT(!platform::readServer("i-1", Bytes).has_value());
  });
  CHECK(Holds);
  bool HoldsCut = rc::check([] {
    std::string Text = directoryEntry().dump();
    auto Offset = *rc::gen::inRange<std::size_t>(0, Text.size());
    Text[Offset] = *rc::gen::arbitrary<char>();
    auto Read = platform::readServer("i-1", Text);
    if (Read)
      RC_ASSERT(Read->Server_.MaxInFlight_ >= 1U);
  });
  CHECK(HoldsCut);
}
