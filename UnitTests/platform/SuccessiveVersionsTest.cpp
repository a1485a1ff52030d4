#include "platform/Configuration.h"

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <map>
#include <random>
#include <set>

using namespace samphireshunt;
using Json = nlohmann::json;

namespace {

/// Makes successive versions of a configuration that differ at random.
class VersionWriter {
public:
  explicit VersionWriter(std::uint64_t Seed) : Random_(Seed) {
    for (int Index = 0; Index < 60; ++Index)
      Routes_.push_back(anyRoute());
  }

  Json next() {
    for (int Change = below(8); Change > 0; --Change)
      changeOne();
    return {{"version", ++Version_},
            {"services", {{{"name", "p-0"}}, {{"name", "p-1"}}}},
            {"routes", Routes_}};
  }

  /// \returns the text of \p Written in one of several layouts.
  std::string layout(const Json &Written) {
    std::string Plain = Written.dump();
    std::string Member = R"("routes":)";
    switch (below(5)) {
    case 0:
      return Written.dump(2);
    case 1: // A name with an escape: read whole, not route by route.
      return Plain.replace(Plain.find(Member), Member.size(),
                           R"("rout\u0065s":)");
    case 2: // The last of two lists counts.
      return R"({"routes":[{"name":5}],)" + Plain.substr(1);
    default:
      return Plain;
    }
  }

  int below(int Bound) {
    return static_cast<int>(Random_() % static_cast<unsigned>(Bound));
  }

private:
  Json anyRoute() {
    Json Built = {
        {"name",
         fmt::format("{}r-{}", below(4) ? "" : "a long name \"\n", below(90))},
        {"hostname",
         below(5) ? fmt::format("h-{}.shop.example", below(3)) : ""},
        {"prefix", fmt::format("/{}/{}/", below(12), below(3))},
        {"kind", below(2)   ? "streaming"
                 : below(2) ? "safe"
                            : "unsafe"},
        {"priority", below(4) * 2}};
    if (below(2))
      Built["service"] = fmt::format("p-{}", below(2));
    else
      Built["backends"] = {{{"service", "p-0"}, {"weight", below(100)}},
                           {{"service", "p-1"}}};
    addSome(Built);
    return Built;
  }

  void addSome(Json &Built) {
    if (below(2))
      Built["timeout-ms"] = 1000 + below(4);
    if (below(2))
      Built["goal-ms"] = 500 + below(2);
    if (below(3) == 0)
      Built["gap-target-ms"] = 300;
    if (below(3) == 0)
      Built["attempts"] = below(4);
    if (below(3) == 0)
      Built["resumable"] = below(2) == 1;
    if (below(3) == 0)
      Built["anonymous"] = below(2) == 1;
    if (below(4) == 0)
      Built["labels"] = {{"backends", {1, {{"service", 2}}}}};
  }

  void changeOne() {
    auto Place = Routes_.begin() + below(static_cast<int>(Routes_.size()));
    switch (below(5)) {
    case 0:
      *Place = anyRoute();
      break;
    case 1:
      Routes_.erase(Place);
      break;
    case 2: // Equal routes, of which the first counts.
      Routes_.push_back(Json(*Place));
      break;
    case 3:
      std::rotate(Routes_.begin(), Place, Routes_.end());
      break;
    default:
      Routes_.insert(Place, anyRoute());
    }
  }

  std::mt19937_64 Random_;
  std::vector<Json> Routes_;
  int Version_ = 0;
};

std::string textOfTargets(const Json &Written) {
  if (!Written.contains("backends"))
    return Written["service"].get<std::string>() + ":1 ";
  std::string Text;
  for (const Json &Target : Written["backends"])
    Text += fmt::format("{}:{} ", Target["service"].get<std::string>(),
                        Target.value("weight", 1));
  return Text;
}

/// What a route says, straight from its JSON. \p Tiers are by priority.
std::string textOf(const Json &Written, const std::map<int, int> &Tiers) {
  auto Kind = Written["kind"].get<std::string>();
  bool Resumable = Written.value("resumable", false);
  int Timeout = Written.value("timeout-ms", 30000);
  std::string Targets = textOfTargets(Written);
  return fmt::format(
      "{}|{}|{}|{}|{}|{}|{} {} {} {} {} {} {}|{}",
      Written["name"].get<std::string>(),
      Written["hostname"].get<std::string>(),
      Written["prefix"].get<std::string>(),
      Targets.substr(0, Targets.find(':')), Kind != "safe" && !Resumable, Kind,
      Resumable, std::max(1, Written.value("attempts", 0)), Timeout,
      Written.value("goal-ms", Timeout), Written.value("gap-target-ms", 0),
      Tiers.at(Written["priority"].get<int>()),
      Written.value("anonymous", false), Targets);
}

std::string textOf(const Route &Known) {
  const ForwardingRule &Rule = *Known.Forwarding_;
  std::string Targets;
  for (const WeightedPool &Target : Rule.Targets_)
    Targets += fmt::format("{}:{} ", Target.Pool_.str(), Target.Weight_);
  constexpr std::array Kinds = {"safe", "unsafe", "streaming"};
  return fmt::format(
      "{}|{}|{}|{}|{}|{}|{} {} {} {} {} {} {}|{}", Known.Name_, *Known.Host_,
      Known.PathPrefix_, Known.Pool_->str(), Known.NonIdempotent_,
      Kinds.at(static_cast<std::size_t>(Rule.Kind_)), Rule.Resumable_,
      Rule.MaxAttempts_, Rule.Timeout_.count(), Rule.Objective_.count(),
      Rule.MaxEventGap_.count(), Rule.Tier_.count(), Rule.Anonymous_, Targets);
}

std::map<int, int> tiersOf(const Json &Written) {
  std::map<int, int> Tiers;
  for (const Json &Entry : Written["routes"])
    Tiers[Entry["priority"].get<int>()] = 0;
  int Next = 0;
  for (auto &[Priority, Tier] : Tiers)
    Tier = Next++;
  return Tiers;
}

std::vector<std::string> expectedRoutes(const Json &Written) {
  std::vector<std::string> Texts;
  auto Tiers = tiersOf(Written);
  for (const Json &Entry : Written["routes"])
    Texts.push_back(textOf(Entry, Tiers));
  return Texts;
}

std::vector<std::string> readRoutes(const Document &Read) {
  std::vector<std::string> Texts;
  std::ranges::transform(Read.Routes_, std::back_inserter(Texts),
                         [](const auto &Known) { return textOf(*Known); });
  return Texts;
}

/// The first of the routes with the longest prefix of \p Path, by a scan.
std::string expectedRoute(const Json &Written, const std::string &Path,
                          const std::string &Host) {
  std::string Best;
  std::size_t Longest = 0;
  auto Tiers = tiersOf(Written);
  for (const Json &Entry : Written["routes"]) {
    auto Prefix = Entry["prefix"].get<std::string>();
    bool ForHost = Entry["hostname"] == "" || Entry["hostname"] == Host;
    if (!ForHost || !Path.starts_with(Prefix) || Prefix.size() <= Longest)
      continue;
    Longest = Prefix.size();
    Best = textOf(Entry, Tiers);
  }
  return Best;
}

} // namespace

TEST_CASE("all that successive versions say of routes is what is written") {
  // Versions share routes, and routes share hosts, pools and rules. A mistake
  // there lets a route keep what an older version said, or get what another
  // route says: requests run where no configuration allows it.
  for (std::uint64_t Seed = 1; Seed <= 12; ++Seed) {
    CAPTURE(Seed);
    VersionWriter Writer(Seed);
    platform::ConfigurationReader Reader;
    std::shared_ptr<const Document> Before;
    std::vector<std::string> BeforeTexts;
    for (int Version = 0; Version < 25; ++Version) {
      Json Written = Writer.next();
      auto Read = Reader.read(Writer.layout(Written));
      REQUIRE(Read.has_value());
      CHECK(readRoutes(*Read->Document_) == expectedRoutes(Written));
      for (int Query = 0; Query < 40; ++Query) {
        std::string Host = fmt::format("h-{}.shop.example", Writer.below(4));
        std::string Path =
            fmt::format("/{}/{}/x", Writer.below(13), Writer.below(4));
        const Route *Found = Read->Document_->route(Path, Host + ":80");
        CHECK((Found ? textOf(*Found) : "") ==
              expectedRoute(Written, Path, Host));
      }
      // Requests may still use the version before.
      if (Before)
        CHECK(readRoutes(*Before) == BeforeTexts);
      Before = Read->Document_;
      BeforeTexts = readRoutes(*Before);
    }
  }
}

namespace {

std::string manyRoutes(int Version, int First, int Count) {
  Json Routes = Json::array();
  for (int Index = First; Index < First + Count; ++Index)
    Routes.push_back({{"name", fmt::format("r-{}", Index)},
                      {"hostname", fmt::format("h-{}", Index % 2)},
                      {"prefix", fmt::format("/p/{}/", Index)},
                      {"kind", "safe"},
                      {"timeout-ms", 1000 + Version},
                      {"priority", Index % 3 * 5},
                      {"service", "p"}});
  return Json({{"version", Version},
               {"services", {{{"name", "p"}}}},
               {"routes", Routes}})
      .dump();
}

std::size_t countRules(const Document &Read) {
  std::set<const ForwardingRule *> Different;
  for (const auto &Known : Read.Routes_)
    Different.insert(Known->Forwarding_.get());
  return Different.size();
}

std::size_t countHosts(const Document &Read) {
  std::set<const std::string *> Different;
  for (const auto &Known : Read.Routes_)
    Different.insert(&*Known->Host_);
  return Different.size();
}

} // namespace

TEST_CASE("routes that say the same share it, and no old version is kept") {
  // A rule and a host of its own for each route takes twice the memory, which
  // 100,000 routes don't have on a small VM; so does what outlives its version.
  platform::ConfigurationReader Reader;
  std::weak_ptr<const Route> OldRoute;
  std::weak_ptr<const ForwardingRule> OldRule;
  for (int Version = 1; Version <= 4; ++Version) {
    auto Read = Reader.read(manyRoutes(Version, 0, 300));
    REQUIRE(Read.has_value());
    CHECK(countRules(*Read->Document_) == 3);
    CHECK(countHosts(*Read->Document_) == 2);
    CHECK(OldRoute.expired());
    OldRoute = Read->Document_->Routes_[0];
    OldRule = Read->Document_->Routes_[0]->Forwarding_;
  }
  // What only an old version used goes when the next one is read.
  REQUIRE(Reader.read(manyRoutes(5, 0, 300)).has_value());
  REQUIRE(Reader.read(manyRoutes(6, 0, 300)).has_value());
  CHECK(OldRoute.expired());
  CHECK(OldRule.expired());
}

TEST_CASE("equal routes of a version are read once, in an odd layout too") {
  platform::ConfigurationReader Reader;
  auto Before = Reader.read(manyRoutes(1, 0, 50));
  REQUIRE(Before.has_value());
  std::string Odd = manyRoutes(1, 10, 50);
  std::string Member = R"("routes")";
  Odd.replace(Odd.find(Member), Member.size(), R"("rout\u0065s")");
  auto After = Reader.read(Odd);
  REQUIRE(After.has_value());
  for (std::size_t Index = 0; Index < 40; ++Index)
    CHECK(After->Document_->Routes_[Index] ==
          Before->Document_->Routes_[Index + 10]);
}
