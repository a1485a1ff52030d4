#include "Connection/EventStream.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace samphireshunt;

TEST_CASE("the parsed events do not depend on how their bytes are split") {
  bool Holds = rc::check([](const std::vector<std::uint8_t> &Cuts) {
    std::string Text = "id: a:0\ndata: one\n\n: a comment\n\n"
                       "event: error\r\ndata: two\r\ndata: more\r\n\r\n";
    EventStream Parser;
    std::vector<ServerSentEvent> Events;
    std::size_t Position = 0;
    auto Feed = [&](std::size_t Count) {
      for (auto &Event : Parser.feed(Text.substr(Position, Count)))
        Events.push_back(Event);
      Position = std::min(Text.size(), Position + Count);
    };
    for (std::uint8_t Cut : Cuts)
      Feed(Cut % 7);
    Feed(Text.size());
    RC_ASSERT(Events.size() == 2U);
    RC_ASSERT(Events[0].Id_ == "a:0");
    RC_ASSERT(Events[0].Data_ == "one");
    RC_ASSERT(Events[1].Name_ == "error");
    RC_ASSERT(Events[1].Data_ == "two\nmore");
    RC_ASSERT(Parser.atBoundary());
  });
  CHECK(Holds);
}

TEST_CASE("an incomplete event is not returned") {
  EventStream Parser;
  CHECK(Parser.feed("data: half\n").empty());
  CHECK_FALSE(Parser.atBoundary());
}
