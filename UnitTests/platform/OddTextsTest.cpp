/// \file
/// Every reader of stored, received or operators' texts, against texts that no
/// program of this project writes.

#include "Process/Rollout/RolloutRecord.h"
#include "Programs/LogLines.h"
#include "Request/ClaimStore.h"
#include "Request/ForwardingDialect.h"
#include "UnitTests/platform/FakeStore.h"
#include "Version/DocumentReader.h"
#include "Version/VersionedDocument.h"
#include "platform/Configuration.h"
#include "platform/RouteReader.h"
#include "platform/Store.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <doctest/doctest.h>

#include <functional>
#include <string>
#include <vector>

using namespace samphireshunt;
using namespace samphireshunt::tests;

namespace {

/// \returns whether \p Start ends with a value.
template <class Value>
bool succeeds(boost::asio::io_context &Context,
              std::function<Awaitable<Result<Value>>()> Start) {
  std::optional<bool> Done;
  auto Run = [&]() -> Awaitable<void> {
    auto Read = co_await Start();
    Done = Read.has_value();
  };
  boost::asio::co_spawn(Context, Run, [&](std::exception_ptr Escaped) {
    CHECK_FALSE(Escaped);
    Done = Done.value_or(false);
  });
  REQUIRE(runUntil(Context, [&] { return Done.has_value(); }));
  return *Done;
}

bool findsClaim(const std::string &Text) {
  boost::asio::io_context Context;
  PlatformHooks Hooks;
  Hooks.Get_ = [&](std::string) -> Awaitable<Result<std::optional<KeyValue>>> {
    co_return std::optional(KeyValue{"k", Text, {}, false});
  };
  ClaimStore Claims(Hooks, {});
  return succeeds<std::optional<Claim>>(
      Context, [&] { return Claims.find(ClaimKey{}); });
}

/// Lists with the client that \p Connect makes, from a service that answers
/// with \p Text.
bool lists(const std::function<PlatformHooks(Endpoint)> &Connect,
           const std::string &Text) {
  boost::asio::io_context Context;
  FakeStore Store(Context);
  Store.AnswerWith_ = Text.empty() ? " " : Text;
  PlatformHooks Hooks = Connect(Store.address());
  return succeeds<KeyValueList>(Context, [&] { return Hooks.List_("k"); });
}

bool isDocument(const DocumentOrFindings &Read) {
  return std::holds_alternative<CheckedDocument>(Read);
}

bool isMoveAnswer(const std::string &Text) {
  HttpResponse Answer;
  Answer.Status_ = 200;
  Answer.Body_ = Text;
  return readMoveAnswer(Answer, "handle", "events").has_value();
}

struct Reader {
  std::string Name_;
  std::function<bool(const std::string &)> Accepts_;
  /// A text that is accepted. It ends with '}'.
  std::string Sample_;
};

const std::string DocumentText =
    R"({"format":1,"service":"s","tiers":["t"],"customers":[{"name":"c",)"
    R"("defaultTier":"t","keyDigests":["sha256:)" +
    std::string(64, 'a') +
    R"("]}],"pools":[{"name":"p","kind":"application","servers":[]}],)"
    R"("routes":[{"path":"/","pool":"p"}]})";

std::vector<Reader> readers() {
  using std::chrono::milliseconds;
  std::string Record = RolloutRecord().encode();
  auto Layout = platform::storeLayout();
  return {
      {"JSON document",
       [](auto &Text) { return isDocument(readJsonDocument(Text)); },
       DocumentText},
      {"YAML document",
       [](auto &Text) { return isDocument(readYamlDocument(Text)); },
       DocumentText},
      {"stored document",
       [](auto &Text) { return VersionedDocument::decode(Text).has_value(); },
       R"({"version":1,"changes":[],"document":)" + DocumentText + "}"},
      {"record of a roll-out",
       [](auto &Text) { return RolloutRecord::decode(Text).has_value(); },
       Record},
      {"claim", findsClaim,
       R"({"attempt":"a","vm":"v","incarnation":1,"bodyDigest":"d","state":0})"},
      {"engine's answer to a move", isMoveAnswer, R"({"handle":"h"})"},
      {"log line", [](auto &Text) { return parseLogLine(Text).has_value(); },
       R"({"event":"e"})"},
      {"platform's configuration",
       [](auto &Text) { return platform::readConfiguration(Text).has_value(); },
       R"({"version":1,"services":[],"routes":[]})"},
      {"platform's route",
       [](auto &Text) { return platform::readRoute(Text).has_value(); },
       R"({"name":"r","hostname":"h","prefix":"/","kind":"safe",)"
       R"("service":"p"})"},
      {"platform's server",
       [Layout](auto &Text) {
         return Layout.ReadServer_("i-1", Text).has_value();
       },
       R"({"service":"p","address":"10.1.2.3:80","zone":"z","batch-size":7,)"
       R"("state":"ready","version":"v1","warmup-left-ms":0,"sequence":4})"},
      {"order of a roll-out",
       [](auto &Text) {
         return platform::readRolloutOrder("p", Text).has_value();
       },
       R"({"to":"v2","duration-s":60})"},
      {"answer of the platform's store",
       [](auto &Text) {
         return lists(
             [](auto At) {
               return platform::storeHooks(At, milliseconds(500));
             },
             Text);
       },
       R"({"current-rev":1,"entries":[]})"},
      {"answer of the platform's service",
       [](auto &Text) {
         return lists(
             [](auto At) { return httpPlatform(At, milliseconds(500)); }, Text);
       },
       R"({"revision":1,"entries":[]})"},
  };
}

std::string repeated(const std::string &Text, std::size_t Times) {
  std::string All;
  for (std::size_t Count = 0; Count < Times; ++Count)
    All += Text;
  return All;
}

std::string nestedLists(std::size_t Levels) {
  return std::string(Levels, '[') + std::string(Levels, ']');
}

std::string nestedObjects(std::size_t Levels) {
  return repeated(R"({"a":)", Levels) + "1" + std::string(Levels, '}');
}

/// \returns \p Sample with a further member.
std::string withMember(std::string Sample, const std::string &Member) {
  Sample.pop_back();
  return Sample + "," + Member + "}";
}

} // namespace

TEST_CASE("a deeply nested text is refused by each reader") {
  // A stored document of 100,000 levels ended every daemon that read it, at
  // each start again: the JSON library writes and copies recursively.
  for (const Reader &Tried : readers()) {
    CAPTURE(Tried.Name_);
    CHECK(Tried.Accepts_(Tried.Sample_));
    for (std::size_t Levels : {101, 5000, 200000})
      for (const std::string &Deep :
           {nestedLists(Levels), nestedObjects(Levels)}) {
        CAPTURE(Levels);
        CHECK_FALSE(Tried.Accepts_(Deep));
        CHECK_FALSE(
            Tried.Accepts_(withMember(Tried.Sample_, "\"odd\":" + Deep)));
        std::string Stored =
            R"({"version":1,"changes":[],"document":)" + Deep + "}";
        CHECK_FALSE(Tried.Accepts_(Stored));
        CHECK_FALSE(Tried.Accepts_(std::string(Levels, '[')));
      }
  }
}

TEST_CASE("an odd text is refused by each reader without an exception") {
  for (const Reader &Tried : readers()) {
    CAPTURE(Tried.Name_);
    for (const std::string &Odd :
         {std::string(), std::string("[]"), std::string("7"),
          std::string("null"), std::string(1, '\0'), std::string("\xff\xfe"),
          std::string("[{}]"), Tried.Sample_ + Tried.Sample_,
          withMember(Tried.Sample_, "\"odd\":\"\xff\""),
          withMember(Tried.Sample_, "\"\xc0\xaf\":1"),
          Tried.Sample_.substr(0, Tried.Sample_.size() / 2)}) {
      CAPTURE(Odd);
      bool Accepted = true;
      CHECK_NOTHROW(Accepted = Tried.Accepts_(Odd));
      CHECK_FALSE(Accepted);
    }
    // Of members with the same name one counts.
    std::string First = Tried.Sample_.substr(1, Tried.Sample_.find(',') - 1);
    CHECK_NOTHROW(Tried.Accepts_(withMember(Tried.Sample_, First)));
  }
}

TEST_CASE("an alias inside its own anchor ends the conversion of a document") {
  // Guards against a file that nests without end though it is short.
  for (const char *Text : {"&a [*a]", "&a [*a, *a]", "&a {b: *a}"}) {
    auto Read = readYamlDocument(Text);
    CHECK_FALSE(isDocument(Read));
  }
}
