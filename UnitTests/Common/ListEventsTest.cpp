#include "Common/ListEvents.h"

#include "Common/JsonReader.h"

#include <doctest/doctest.h>

#include <vector>

using namespace samphireshunt;

namespace {

std::size_t Steps = 0;

/// Counts the steps of iterators over lists.
template <class Base> struct CountedIterator : Base {
  CountedIterator() = default;
  CountedIterator(Base Given) : Base(Given) {}
  CountedIterator &operator++() {
    ++Steps;
    Base::operator++();
    return *this;
  }
  CountedIterator &operator+=(std::ptrdiff_t Distance) {
    ++Steps;
    Base::operator+=(Distance);
    return *this;
  }
};

template <class Value, class Allocator>
struct CountedVector : std::vector<Value, Allocator> {
  using Base = std::vector<Value, Allocator>;
  using Base::Base;
  using iterator = CountedIterator<typename Base::iterator>;
  iterator begin() { return Base::begin(); }
  iterator end() { return Base::end(); }
  using Base::begin;
  using Base::end;
};

using Counted = nlohmann::basic_json<std::map, CountedVector>;

std::string objects(std::size_t Count) {
  std::string Text = "[{}";
  for (std::size_t Index = 1; Index < Count; ++Index)
    Text += ",{}";
  return Text + "]";
}

} // namespace

TEST_CASE("a long list of objects that is kept is not scanned per object") {
  // A text of several MiB would block the thread for minutes.
  constexpr std::size_t Count = 2000;
  for (const std::string &Text : {R"({"l":[1],"m":)" + objects(Count) + "}",
                                  R"({"l":{"a":)" + objects(Count) + "}}",
                                  R"({"l":[{"a":)" + objects(Count) + "}]}"}) {
    Steps = 0;
    ListEvents<Counted> Events(
        "l", [] {}, [](const Counted &) {});
    REQUIRE(Counted::sax_parse(Text, &Events));
    CHECK(Steps <= Count);
  }
}

TEST_CASE("what is kept and what is taken make the value of the plain parser") {
  for (const char *Text :
       {R"({"l":[{"a":1,"a":[2,{}]},[[]],null,-1,1.5,"\u0061"],"m":[{},{}]})",
        R"({"l":[1],"\u006c":[{"b":{}}],"m":{"l":[{}]},"m":7})",
        R"({"l":{"l":[1,{"l":[2]}]},"a":[[{"l":[]}],{}]})",
        R"({"l":[[1],2],"l":5})", R"({"l":5,"l":[]})", R"({})"}) {
    CAPTURE(Text);
    nlohmann::json Taken = nlohmann::json::array();
    ListTaker Taker;
    Taker.Member_ = "l";
    Taker.Begin_ = [&] { Taken.clear(); };
    Taker.Entry_ = [&](const nlohmann::json &Entry) { Taken.push_back(Entry); };
    auto Read = readJsonObject(Text, Taker);
    REQUIRE(Read.has_value());
    auto &Root = Read->Root_;
    if (Root.contains("l") && Root["l"].is_array())
      Root["l"] = Taken;
    CHECK(Root == nlohmann::json::parse(Text));
  }
}
