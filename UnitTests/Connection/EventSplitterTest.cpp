#include "Connection/EventSplitter.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace samphireshunt;

TEST_CASE("an incomplete event is retained, and its id does not count") {
  // An engine breaks off within an event and another engine resumes the stream.
  // If the incomplete event were passed on, or counted as the last one
  // received, the stream would contain pieces of two runs.
  EventSplitter Splitter;
  CHECK(Splitter.feed("id: 1\ndata: a\n\nid: 2\nda") == "id: 1\ndata: a\n\n");
  CHECK(Splitter.lastId() == "1");
  CHECK(Splitter.partialEvent() == "id: 2\nda");
  Splitter.dropPartialEvent();
  CHECK(Splitter.feed("id: 2\ndata: b\n\n") == "id: 2\ndata: b\n\n");
  CHECK(Splitter.lastId() == "2");
  CHECK(Splitter.count() == 2);
}

TEST_CASE("lines may end in CR LF, and fields may be in any order") {
  EventSplitter Splitter;
  CHECK(Splitter.feed("data: x\r\nid:7\r\n\r") == "");
  CHECK(Splitter.feed("\ndata") == "data: x\r\nid:7\r\n\r\n");
  CHECK(Splitter.lastId() == "7");
}

TEST_CASE("the output does not depend on how the stream is split into reads") {
  rc::check([] {
    const std::string Stream = "id: 1\ndata: a\n\n: note\n\nid: 2\r\ndata: "
                               "b\r\n\r\ndata: c\n\nid: 3\nda";
    EventSplitter Splitter;
    std::string Out;
    std::size_t At = 0;
    while (At < Stream.size()) {
      auto Length = *rc::gen::inRange<std::size_t>(1, 9);
      Out += Splitter.feed(std::string_view(Stream).substr(At, Length));
      At += Length;
    }
    RC_ASSERT(Out + Splitter.partialEvent() == Stream);
    RC_ASSERT(Splitter.lastId() == std::optional<std::string>("2"));
    RC_ASSERT(Splitter.partialEvent() == "id: 3\nda");
  });
}
