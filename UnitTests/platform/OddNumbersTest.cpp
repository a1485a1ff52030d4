/// \file
/// Each number of the platform's texts, replaced by numbers that no reader can
/// calculate with. They were converted silently, to other values on another
/// processor.

#include "UnitTests/OddNumbers.h"
#include "Process/Rollout/RolloutRecord.h"
#include "platform/Configuration.h"
#include "platform/Headers.h"

#include <doctest/doctest.h>

#include <map>

using namespace samphireshunt;
using namespace samphireshunt::tests;
using Json = nlohmann::json;
using std::chrono::milliseconds;

namespace {

using Numbers = std::vector<std::string>;
/// A place in a text, and which odd numbers are valid there.
using Places = std::map<std::string, Numbers>;

const Numbers Whole = {"0"};
const Numbers Real = {"0", "1.5"};
/// Times that are no numbers have their defaults.
const Numbers Time = {"0", "1.5", "\"7\"", "null"};
/// Numbers of the service that are only compared.
const Numbers Kept = {"0", "9007199254740992", "9223372036854775808",
                      "18446744073709551615"};
const Numbers Rounded = {"0", "1.5"};
const Numbers None = {};

template <class Reading>
void checkPlaces(const Json &Root, const Places &All, Reading Read) {
  REQUIRE(Read(Root.dump()).has_value());
  for (const auto &Place : All) {
    const std::string &Pointer = Place.first;
    std::string Field = Pointer.substr(Pointer.rfind('/') + 1);
    checkOddNumbers(Field, Place.second, [&](const std::string &Number) {
      return Read(withNumber(Root, Pointer, Number));
    });
  }
}

} // namespace

TEST_CASE("a configuration with a number out of range is refused, with the "
          "field's name") {
  const Json Root = Json::parse(R"({"version":7,
    "routes":[{"name":"r","hostname":"a.example","prefix":"/s/",
       "kind":"streaming","timeout-ms":6000,"goal-ms":800.0,"priority":0,
       "attempts":1,"gap-target-ms":400,
       "backends":[{"service":"engines","weight":90}]}],
    "services":[{"name":"engines","backend":{"kv-capacity":187300,"stride":4,
       "kv-bytes":131072.0,"link-mbps":260000.0,"session-ttl-s":4.5}}],
    "limits":{"max-header-bytes":16384,"max-body-bytes":4194304,
              "header-timeout-ms":3000,"idle-timeout-ms":15000.0},
    "tenants":[{"name":"t","api-keys":["k"],"unit":"tokens",
                "plain-tokens":200,"rate-per-s":153443.5,"burst":1000}]})");
  checkPlaces(Root,
              {{"/version", Whole},
               {"/routes/0/timeout-ms", Time},
               {"/routes/0/goal-ms", Time},
               {"/routes/0/gap-target-ms", Time},
               {"/routes/0/attempts", Rounded},
               {"/routes/0/priority", Rounded},
               {"/routes/0/backends/0/weight", Rounded},
               {"/services/0/backend/kv-capacity", Whole},
               {"/services/0/backend/stride", Whole},
               {"/services/0/backend/kv-bytes", Whole},
               {"/services/0/backend/link-mbps", Real},
               {"/services/0/backend/session-ttl-s", Real},
               {"/limits/max-header-bytes", Whole},
               {"/limits/max-body-bytes", Whole},
               {"/limits/header-timeout-ms", Time},
               {"/limits/idle-timeout-ms", Time},
               {"/tenants/0/plain-tokens", Whole},
               {"/tenants/0/rate-per-s", Real},
               {"/tenants/0/burst", Real}},
              platform::readConfiguration);
  // Connections count the bytes of a head in 32 bits: 2^32 was 0 there.
  CHECK_FALSE(platform::readConfiguration(
                  withNumber(Root, "/limits/max-header-bytes", "4294967296"))
                  .has_value());
}

TEST_CASE("an entry of the directory with a number out of range is refused, "
          "with the field's name") {
  const Json Root = {{"service", "engines"}, {"address", "10.1.2.3:80"},
                     {"zone", "z"},          {"batch-size", 7},
                     {"state", "ready"},     {"version", "v1"},
                     {"warmup-left-ms", 0},  {"sequence", 4},
                     {"born", 1764700000123}};
  checkPlaces(Root,
              {{"/batch-size", None},
               {"/warmup-left-ms", Real},
               {"/sequence", Whole},
               {"/born", Whole}},
              [](const std::string &Text) {
                return platform::readServer("i-1", Text);
              });
}

TEST_CASE("a roll-out with a number out of range is refused, with the field's "
          "name") {
  RolloutRecord Record;
  checkPlaces(Json::parse(Record.encode()),
              {{"/era", Kept},
               {"/revision", Kept},
               {"/started", Whole},
               {"/stageBegan", Whole}},
              RolloutRecord::decode);
  checkPlaces({{"to", "v2"}, {"duration-s", 12}}, {{"/duration-s", {"1.5"}}},
              [](const std::string &Text) {
                return platform::readRolloutOrder("s", Text);
              });
}

// A caller that named 2^32 tokens was charged none of them, and the sum of two
// counts of 2^63-1 overflowed.
TEST_CASE("counts in a request's labels fit in messages between daemons") {
  ForwardingDialect Dialect = platform::platformDialect();
  auto Read = [&](const std::string &Number) {
    return Dialect.ReadCall_(
        {{"x-samphireshunt-deadline-ms", Number},
         {"x-samphireshunt-token-count", Number + "," + Number}});
  };
  constexpr std::int64_t Most = 4294967295;
  for (const char *Large :
       {"4294967295", "4294967296", "9223372036854775807",
        "18446744073709551616", "99999999999999999999999"}) {
    CAPTURE(Large);
    CallLabels Labels = Read(Large);
    CHECK(Labels.Timeout_.value_or(milliseconds(Most)) == milliseconds(Most));
    CHECK(Labels.Prompt_ == Tokens(Most));
    CHECK(Labels.MaxAnswer_ == Tokens(Most));
  }
  for (const char *Wrong :
       {"-1", "-99999999999999999999999", "1.5", "1e3", "+1", "", "x"}) {
    CAPTURE(Wrong);
    CallLabels Labels = Read(Wrong);
    CHECK_FALSE(Labels.Timeout_.has_value());
    CHECK_FALSE(Labels.Prompt_.has_value());
  }
  CHECK(Read("0").Prompt_ == Tokens(0));
}

TEST_CASE("an entry of the directory at an address that no engine can have is "
          "refused") {
  auto Read = [](const std::string &Address) {
    Json Root = {{"service", "engines"}, {"address", Address},
                 {"zone", "z"},          {"batch-size", 7},
                 {"state", "ready"},     {"version", "v1"},
                 {"warmup-left-ms", 0},  {"sequence", 4}};
    return platform::readServer("i-1", Root.dump());
  };
  CHECK(Read("127.0.0.1:80").has_value());
  for (const char *Wrong :
       {"10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:-1", "0.0.0.0:80",
        "224.0.0.1:80", "255.255.255.255:80", "[::]:80", "[ff02::1]:80"}) {
    CAPTURE(Wrong);
    auto Entry = Read(Wrong);
    REQUIRE_FALSE(Entry.has_value());
    CHECK(Entry.error().Code_ == ResultCode::DocumentSchema);
    CHECK(Entry.error().Detail_.starts_with("address: "));
  }
}
