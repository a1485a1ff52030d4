#include "Common/JsonReader.h"

#include <doctest/doctest.h>

#include <vector>

using namespace samphireshunt;
using Json = nlohmann::json;

namespace {

struct Taken {
  Result<ParsedJson> Read_;
  std::vector<std::string> Entries_;
};

/// Reads \p Text and takes the list "l" out of it.
Taken take(const std::string &Text) {
  std::vector<std::string> Entries;
  ListTaker Taker;
  Taker.Member_ = "l";
  Taker.Begin_ = [&] { Entries.clear(); };
  Taker.Entry_ = [&](const Json &Entry) { Entries.push_back(Entry.dump()); };
  auto Read = readJsonObject(Text, Taker);
  return {std::move(Read), std::move(Entries)};
}

} // namespace

TEST_CASE("the entries of a list are taken one by one and not kept") {
  // As values, 100,000 routes take more memory than a small VM has.
  auto Got = take(R"({"a":[1,[2]],"l":[{"l":[3]},[4,{"b":5}],6],"z":{"l":7}})");
  REQUIRE(Got.Read_.has_value());
  CHECK(Got.Entries_ ==
        std::vector<std::string>{R"({"l":[3]})", R"([4,{"b":5}])", "6"});
  CHECK(Got.Read_->Root_ == Json::parse(R"({"a":[1,[2]],"l":[],"z":{"l":7}})"));
}

TEST_CASE("of two lists with one name the last one is taken") {
  auto Got = take(R"({"l":[1,2],"l":[3]})");
  REQUIRE(Got.Read_.has_value());
  CHECK(Got.Entries_ == std::vector<std::string>{"3"});
  CHECK(take(R"({"l":[1,2],"l":{"a":3}})").Entries_.empty());
}

TEST_CASE("a member that is not a list is kept") {
  for (const char *Text : {R"({"l":{"a":[1]}})", R"({"l":5,"m":[1]})",
                           R"({"m":{"l":[1]}})", R"({"l":null})"}) {
    CAPTURE(Text);
    auto Got = take(Text);
    REQUIRE(Got.Read_.has_value());
    CHECK(Got.Read_->Root_ == Json::parse(Text));
    CHECK(Got.Entries_.empty());
  }
}

TEST_CASE("a text that is no object is refused as without a list to take") {
  for (const std::string &Text :
       {std::string(), std::string("[[1]]"), std::string(R"({"l":[1})"),
        std::string(R"({"l":[1]}x)"), std::string(R"({"l":[1,)"),
        R"({"l":)" + std::string(MaxJsonNesting + 1, '[')}) {
    CAPTURE(Text);
    auto Expected = readJsonObject(Text);
    auto Got = take(Text);
    REQUIRE_FALSE(Expected.has_value());
    REQUIRE_FALSE(Got.Read_.has_value());
    CHECK(Got.Read_.error().Code_ == Expected.error().Code_);
    CHECK(Got.Entries_.empty());
  }
}
