#include "Connection/EventSplitter.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <vector>

using namespace samphireshunt;

TEST_CASE("an incomplete event is retained, and its id does not count") {
  // An engine breaks off within an event and another engine resumes the stream.
  // If the incomplete event were passed on, or counted as the last one
  // received, the stream would contain pieces of two runs.
  EventSplitter Splitter;
  CHECK(*Splitter.feed("id: 1\ndata: a\n\nid: 2\nda") == "id: 1\ndata: a\n\n");
  CHECK(Splitter.lastId() == "1");
  CHECK(Splitter.partialEvent() == "id: 2\nda");
  Splitter.dropPartialEvent();
  CHECK(*Splitter.feed("id: 2\ndata: b\n\n") == "id: 2\ndata: b\n\n");
  CHECK(Splitter.lastId() == "2");
  CHECK(Splitter.count() == 2);
}

TEST_CASE("lines may end in CR LF, and fields may be in any order") {
  EventSplitter Splitter;
  CHECK(*Splitter.feed("data: x\r\nid:7\r\n\r") == "data: x\r\nid:7\r\n\r");
  CHECK(Splitter.lastId() == "7");
  CHECK(*Splitter.feed("\ndata") == "\n");
  CHECK(Splitter.partialEvent() == "data");
  CHECK(Splitter.count() == 1);
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
      Out += *Splitter.feed(std::string_view(Stream).substr(At, Length));
      At += Length;
    }
    RC_ASSERT(Out + Splitter.partialEvent() == Stream);
    RC_ASSERT(Splitter.lastId() == std::optional<std::string>("2"));
    RC_ASSERT(Splitter.partialEvent() == "id: 3\nda");
    RC_ASSERT(Splitter.count() == 3);
  });
}

namespace {

/// A stream, and where the events in it begin and end.
struct GeneratedStream {
  std::string Bytes_;
  std::vector<std::pair<std::size_t, std::size_t>> Events_;
};

/// \returns a stream with any ends of lines, and with comments, blank lines and
/// a byte order mark between events.
GeneratedStream generateStream() {
  const std::vector<std::string> Ends = {"\n", "\r\n", "\r"};
  auto End = [&Ends] { return *rc::gen::elementOf(Ends); };
  GeneratedStream Built;
  if (*rc::gen::arbitrary<bool>())
    Built.Bytes_ = "\xEF\xBB\xBF";
  auto AddSpace = [&] {
    auto Lines = *rc::gen::inRange(0, 3);
    for (int Line = 0; Line < Lines; ++Line)
      Built.Bytes_ += (*rc::gen::arbitrary<bool>() ? ": note" : "") + End();
  };
  auto Count = *rc::gen::inRange(1, 5);
  for (int Id = 1; Id <= Count; ++Id) {
    AddSpace();
    std::size_t Begin = Built.Bytes_.size();
    Built.Bytes_ += "id: " + std::to_string(Id) + End();
    Built.Bytes_ += "data: x" + End();
    // A LF after a CR would belong to the line before.
    std::string Last = End();
    Built.Bytes_ += Built.Bytes_.ends_with('\r') && Last == "\n" ? "\r" : Last;
    Built.Events_.emplace_back(Begin, Built.Bytes_.size());
  }
  return Built;
}

/// Feeds \p Bytes in reads of any size. \returns what was passed on.
std::string feedAll(EventSplitter &Splitter, std::string_view Bytes) {
  std::string Out;
  while (!Bytes.empty()) {
    auto Length = *rc::gen::inRange<std::size_t>(1, 9);
    Out += *Splitter.feed(Bytes.substr(0, Length));
    Bytes.remove_prefix(std::min(Length, Bytes.size()));
  }
  return Out;
}

} // namespace

TEST_CASE("a whole stream is complete, with any ends of lines and any reads") {
  // Guards against valid streams that are taken for broken ones.
  rc::check([] {
    GeneratedStream Stream = generateStream();
    auto Trailing = *rc::gen::elementOf(std::vector<std::string>{
        "", "\n", "\r\n", "\r", ": note\n", ": note\r", ": a\r\n: b\n\n"});
    EventSplitter Splitter;
    std::string Out = feedAll(Splitter, Stream.Bytes_ + Trailing);
    auto Rest = Splitter.finish();
    RC_ASSERT(Rest.has_value());
    RC_ASSERT(Out + *Rest == Stream.Bytes_ + Trailing);
    RC_ASSERT(Splitter.count() == Stream.Events_.size());
    RC_ASSERT(Splitter.lastId() == std::to_string(Stream.Events_.size()));
  });
}

TEST_CASE("a stream that is cut within an event is never complete") {
  // Guards against broken streams that are taken for complete ones, and against
  // the beginning of an event that is passed on.
  rc::check([] {
    GeneratedStream Stream = generateStream();
    auto Index = *rc::gen::inRange<std::size_t>(0, Stream.Events_.size());
    auto [Begin, End] = Stream.Events_[Index];
    // The last line end may have two bytes, of which the first one is enough.
    bool TwoBytes = Stream.Bytes_.substr(0, End).ends_with("\r\n");
    std::size_t Complete = End - (TwoBytes ? 2 : 1);
    auto Cut = *rc::gen::inRange<std::size_t>(Begin + 1, Complete + 1);
    EventSplitter Splitter;
    std::string Out =
        feedAll(Splitter, std::string_view(Stream.Bytes_).substr(0, Cut));
    RC_ASSERT(!Splitter.finish().has_value());
    RC_ASSERT(Out.size() <= Begin);
    RC_ASSERT(Stream.Bytes_.starts_with(Out));
    RC_ASSERT(Splitter.count() == Index);
  });
}

TEST_CASE("an event that never ends is given up at a limit") {
  // Guards against a daemon that runs out of memory, or of processor time, on
  // one event.
  EventSplitter Splitter;
  const std::string Part(16 * 1024, 'x');
  std::size_t Fed = 0;
  auto Last = Splitter.feed("data: ");
  for (; Last && Fed <= EventSplitter::MaxEventBytes; Fed += Part.size())
    Last = Splitter.feed(Part);
  REQUIRE(Last.has_error());
  CHECK(Last.error().Code_ == ResultCode::EventTooLarge);
  CHECK(Fed <= EventSplitter::MaxEventBytes + Part.size());
}
