/// \file
/// Tests of the splitter of the service's answers, which come in parts of any
/// size and may have values that are too large to be held.

#include "Process/Configuration/AnswerSplitter.h"

#include "Common/JsonReader.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>
#include <vector>

using namespace samphireshunt;

namespace {

constexpr AnswerSplitter::Limits Wide{1000, 100000};
/// Longer than a value that always has room.
constexpr std::size_t Long = 5000;

struct Parts {
  std::vector<AnswerSplitter::Item> Items_;
  std::string Rest_;
  bool Whole_ = false;
  std::optional<Failure> Fault_;
};

Parts split(std::string_view Text, std::size_t Step,
            AnswerSplitter::Limits Bounds = Wide) {
  Parts Read;
  AnswerSplitter Splitter("entries", Bounds, [&](AnswerSplitter::Item Item) {
    Read.Items_.push_back(std::move(Item));
  });
  for (; !Text.empty() && !Read.Fault_;
       Text.remove_prefix(std::min(Step, Text.size())))
    if (auto Done = Splitter.feed(Text.substr(0, Step)); !Done)
      Read.Fault_ = Done.error();
  Read.Rest_ = Splitter.rest();
  Read.Whole_ = Splitter.whole();
  return Read;
}

/// \returns whether the parts of \p Text are JSON, however it comes.
bool isSplitAsJson(std::string_view Text) {
  std::vector<bool> Verdicts;
  for (std::size_t Step : {std::size_t(1), std::size_t(2), std::size_t(7),
                           std::max<std::size_t>(Text.size(), 1)}) {
    Parts Read = split(Text, Step);
    Verdicts.push_back(!Read.Fault_ && Read.Whole_ && isJson(Read.Rest_) &&
                       std::ranges::all_of(Read.Items_, [](const auto &Item) {
                         return isJson(Item.Text_);
                       }));
  }
  CHECK(std::ranges::adjacent_find(Verdicts, std::not_equal_to()) ==
        Verdicts.end());
  return Verdicts.front();
}

const std::vector<std::string> Answers = {
    R"({"entries":[],"rev":3})",
    R"({"entries":[{"key":"k","value":"dg==","n":[1,{"a":"]}"}]},{}],"x":true})",
    "{ \"rev\" : 1 ,\n\t\"entries\" : [ {\"a\" : \"\\\"\\\\\\u00e9\"} , null "
    "]}",
    R"({"a":{"entries":[1,2]},"entries":[7,"x",[[]],-1.5e3,true]})",
    R"({"entries":7})",
    R"({"rev":"entries"})",
};

} // namespace

TEST_CASE("an answer is split into the same items however it comes") {
  for (const std::string &Text : Answers) {
    CAPTURE(Text);
    auto Root = readJsonOrNull(Text);
    REQUIRE(Root.is_object());
    auto Listed = Root.value("entries", nlohmann::json::array());
    for (std::size_t Step = 1; Step <= Text.size(); ++Step) {
      Parts Read = split(Text, Step);
      REQUIRE_FALSE(Read.Fault_.has_value());
      CHECK(Read.Whole_);
      REQUIRE(Read.Items_.size() == (Listed.is_array() ? Listed.size() : 0));
      for (std::size_t Index = 0; Index < Read.Items_.size(); ++Index)
        CHECK(readJsonOrNull(Read.Items_[Index].Text_) == Listed[Index]);
      auto Rest = readJsonOrNull(Read.Rest_);
      REQUIRE(Rest.is_object());
      if (Listed.is_array()) {
        Root.erase("entries");
        Rest.erase("entries");
      }
      CHECK(Rest == Root);
    }
  }
}

// A cut answer, or one with a byte more or less, must not pass for a whole one:
// keys that it lacks would count as removed.
TEST_CASE("a text that is not JSON is never split into parts that are") {
  for (const std::string &Text : Answers) {
    CHECK(isSplitAsJson(Text));
    for (std::size_t At = 0; At < Text.size(); ++At) {
      CAPTURE(Text);
      CAPTURE(At);
      CHECK_FALSE(isSplitAsJson(Text.substr(0, At)));
      std::string Without = Text;
      Without.erase(At, 1);
      CHECK(isSplitAsJson(Without) <= isJson(Without));
      for (char Added : std::string_view("\"[]{},: 1\\\n\x01")) {
        std::string More = Text;
        More.insert(At, 1, Added);
        CAPTURE(Added);
        CHECK(isSplitAsJson(More) <= isJson(More));
      }
    }
  }
}

TEST_CASE("a value that is too large is left out, and the key after it read") {
  // Guards against one value that hides all others, or takes their memory.
  const std::string Text =
      fmt::format(R"({{"entries":[{{"key":"a"}},)"
                  R"({{"lease":0,"value":"{}","key":"k","revision":4}},)"
                  R"({{"key":"z","value":"dg=="}}],"rev":9}})",
                  std::string(Long, 'A'));
  for (std::size_t Step : {std::size_t(1), std::size_t(100), Text.size()}) {
    Parts Read = split(Text, Step);
    REQUIRE_FALSE(Read.Fault_.has_value());
    REQUIRE(Read.Items_.size() == 3);
    REQUIRE(Read.Items_[1].LeftOut_.has_value());
    CHECK(Read.Items_[1].LeftOut_->Size_ == Long + 2);
    CHECK(Read.Items_[1].LeftOut_->Bound_ == Wide.MaxValue_);
    CHECK(readJsonOrNull(Read.Items_[1].Text_) ==
          readJsonOrNull(R"({"lease":0,"value":null,"key":"k","revision":4})"));
    CHECK_FALSE(Read.Items_[0].LeftOut_.has_value());
    CHECK_FALSE(Read.Items_[2].LeftOut_.has_value());
    CHECK(Read.Items_[2].Text_ == R"({"key":"z","value":"dg=="})");
  }
}

TEST_CASE("what is left out still has to be JSON") {
  const std::string Much(Long, 'A');
  auto With = [](const std::string &Value) {
    return fmt::format(R"({{"entries":[{{"value":{},"key":"k"}}]}})", Value);
  };
  CHECK(isSplitAsJson(With("\"" + Much + "\"")));
  CHECK(isSplitAsJson(With("[\"" + Much + "\",{}]")));
  for (const std::string &Value :
       {"\"" + Much, "\"" + Much + "\"x", "\"" + Much + "\" \"\"",
        "\"" + Much + "\\x\"", "\"" + Much + "\\u00g0\"", "\"" + Much + "\n\"",
        Much, "[\"" + Much + "\"}", "[\"" + Much + "\""}) {
    CAPTURE(Value.substr(Value.size() - 8));
    CHECK_FALSE(isSplitAsJson(With(Value)));
  }
}

TEST_CASE("what is held of an answer is bounded in all") {
  const std::string Value(Long, 'A');
  constexpr std::size_t Count = 30;
  std::string Text = R"({"entries":[)";
  for (std::size_t Index = 0; Index < Count; ++Index)
    Text += fmt::format(R"({}{{"key":"{}","value":"{}"}})",
                        Index > 0 ? "," : "", Index, Value);
  Text += "]}";
  AnswerSplitter::Limits Bounds{2 * Long, 10 * Long};
  auto Fault = split(Text, Text.size(), Bounds).Fault_;
  REQUIRE(Fault.has_value());
  CHECK(Fault->Code_ == ResultCode::AnswerTooLarge);
  // Where the sum is bounded too, the long values give way.
  Bounds.MaxLongValues_ = 5 * Long;
  Parts Read = split(Text, Text.size(), Bounds);
  REQUIRE_FALSE(Read.Fault_.has_value());
  CHECK(Read.Items_.size() == Count);
  auto LeftOut = std::ranges::count_if(
      Read.Items_, [](const auto &Item) { return Item.LeftOut_.has_value(); });
  CHECK(LeftOut > 20);
  CHECK(LeftOut < 27);
  std::string Endless = R"({"entries":[{")" + std::string(20 * Long, 'n');
  CHECK(split(Endless, 1000).Fault_->Code_ == ResultCode::AnswerTooLarge);
  Endless = R"({"x":")" + std::string(21 * Long, 'n');
  CHECK(split(Endless, 1000).Fault_->Code_ == ResultCode::AnswerTooLarge);
}
