/// \file
/// Transfers between a daemon that has texts and one that receives the newest.

#include "Process/Configuration/DocumentTransfer.h"

#include <doctest/doctest.h>

using namespace samphireshunt;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds LongAgo{10000};

std::string textOf(std::uint32_t Seed, std::size_t Size) {
  std::string Text;
  while (Text.size() < Size) {
    Seed = Seed * 1664525 + 1013904223;
    Text += static_cast<char>(Seed >> 24);
  }
  return Text;
}

/// A reader and a follower. Chunks are passed on until the text is complete or
/// nothing follows.
class Two {
public:
  Two() {
    for (DocumentTexts *Texts : {&Reader_, &Follower_})
      Texts->keep(DocumentVersion(3), textOf(3, 100000));
  }
  std::optional<wire::TextAskT> name(std::uint64_t Number) {
    const std::string *Text = Reader_.find(DocumentVersion(Number));
    return Transfer_.named(DocumentVersion(Number), Text ? Text->size() : 1,
                           Follower_.newest(), Now_);
  }
  DocumentTransfer::Step take(const wire::TextPartT &Part) {
    return Transfer_.received(Part, Follower_, Now_);
  }
  /// Runs the transfer from \p Ask on.
  /// \returns its last step.
  DocumentTransfer::Step run(std::optional<wire::TextAskT> Ask) {
    DocumentTransfer::Step Last;
    Last.Ask_ = std::move(Ask);
    while (Last.Ask_) {
      ++Parts_;
      Last = take(Reader_.part(*Last.Ask_));
    }
    return Last;
  }

  DocumentTexts Reader_;
  DocumentTexts Follower_;
  DocumentTransfer Transfer_;
  DocumentTransfer::TimePoint Now_{LongAgo};
  int Parts_ = 0;
};

} // namespace

TEST_CASE("a text comes whole, in parts of a bounded length") {
  Two Test;
  std::string Text = textOf(4, 100000);
  Test.Reader_.keep(DocumentVersion(4), Text);
  CHECK(Test.Transfer_.lacks(DocumentVersion(4), DocumentVersion(3)));
  CHECK(Test.run(Test.name(4)).Text_ == Text);
  CHECK(Test.Parts_ == 7);
  // The text may be one that can't be parsed, so it is not requested
  // repeatedly.
  CHECK_FALSE(Test.Transfer_.lacks(DocumentVersion(4), DocumentVersion(3)));
  CHECK(Test.Transfer_.lacks(DocumentVersion(5), DocumentVersion(3)));
}

TEST_CASE("a text like one that both hold comes in one part") {
  Two Test;
  std::string Text = textOf(3, 100000) + "a new route";
  Test.Reader_.keep(DocumentVersion(4), Text);
  CHECK(Test.run(Test.name(4)).Text_ == Text);
  CHECK(Test.Parts_ == 1);
}

TEST_CASE("a text comes also to one that holds none, or none that is known") {
  Two Test;
  std::string Text = textOf(4, 100000);
  Test.Reader_.keep(DocumentVersion(4), Text);
  Test.Follower_ = DocumentTexts();
  SUBCASE("none") {}
  SUBCASE("unknown") { Test.Follower_.keep(DocumentVersion(2), "another"); }
  CHECK(Test.run(Test.name(4)).Text_ == Text);
}

TEST_CASE("a text that is under way is not asked for again, unless its part "
          "stays out") {
  Two Test;
  Test.Reader_.keep(DocumentVersion(4), textOf(4, 100000));
  auto First = Test.name(4);
  REQUIRE(First);
  CHECK_FALSE(Test.name(4));
  auto Second = Test.take(Test.Reader_.part(*First));
  REQUIRE(Second.Ask_);
  Test.Now_ += milliseconds(1000);
  CHECK_FALSE(Test.name(4));
  Test.Now_ += milliseconds(1000);
  auto Again = Test.name(4);
  REQUIRE(Again);
  CHECK(Again->offset == TextPartBytes);
  // Both requests are answered in the end, and only one of the answers is used.
  auto Part = Test.Reader_.part(*Again);
  CHECK(Test.take(Part).Ask_);
  CHECK_FALSE(Test.take(Part).Ask_);
}

TEST_CASE("a newer text takes the place of the one that is under way") {
  Two Test;
  Test.Reader_.keep(DocumentVersion(4), textOf(4, 100000));
  auto Ask = Test.name(4);
  REQUIRE(Ask);
  auto Next = Test.take(Test.Reader_.part(*Ask));
  REQUIRE(Next.Ask_);
  std::string Text = textOf(5, 50000);
  Test.Reader_.keep(DocumentVersion(5), Text);
  auto Newer = Test.name(5);
  REQUIRE(Newer);
  CHECK(Newer->offset == 0);
  // The answer for the earlier text, which is no longer available.
  CHECK_FALSE(Test.take(Test.Reader_.part(*Next.Ask_)).Ask_);
  CHECK(Test.run(Newer).Text_ == Text);
}

TEST_CASE("a text that the reader no longer tells ends, and the next one that "
          "it names begins") {
  Two Test;
  Test.Reader_.keep(DocumentVersion(4), textOf(4, 100000));
  auto Ask = Test.name(4);
  std::string Text = textOf(5, 50000);
  Test.Reader_.keep(DocumentVersion(5), Text);
  auto Last = Test.run(Ask);
  CHECK_FALSE(Last.Text_);
  CHECK_FALSE(Last.Broken_);
  CHECK(Test.run(Test.name(5)).Text_ == Text);
}

TEST_CASE("a text that is not what it was named as is thrown away, and comes "
          "anew without a prefix") {
  Two Test;
  std::string Text = textOf(4, 100000);
  Test.Reader_.keep(DocumentVersion(4), Text);
  auto Ask = Test.name(4);
  REQUIRE(Ask);
  CHECK(Ask->held_version == 3);
  auto Part = Test.Reader_.part(*Ask);
  SUBCASE("a wrong byte") { Part.bytes[TextPartBytes / 2] ^= 0xff; }
  SUBCASE("a wrong hash") { Part.hash ^= 1; }
  SUBCASE("a wrong size") { --Part.size; }
  SUBCASE("another prefix") { Part.held_version = 2; }
  SUBCASE("longer than it can be") { Part.packed_size = 1000000000; }
  SUBCASE("longer than all") { Part.packed_size = 10; }
  SUBCASE("no bytes") { Part.bytes.clear(); }
  auto Step = Test.take(Part);
  auto Last = Step.Ask_ ? Test.run(Step.Ask_) : std::move(Step);
  CHECK(Last.Broken_);
  CHECK_FALSE(Last.Text_);
  auto Again = Test.name(4);
  REQUIRE(Again);
  CHECK(Again->held_version == 0);
  CHECK(Again->offset == 0);
  CHECK(Test.run(Again).Text_ == Text);
}

TEST_CASE("a prefix that differs is noticed, though its revision is the same") {
  Two Test;
  Test.Follower_ = DocumentTexts();
  Test.Follower_.keep(DocumentVersion(3), textOf(9, 100000));
  std::string Text = textOf(3, 100000) + "a new route";
  Test.Reader_.keep(DocumentVersion(4), Text);
  CHECK(Test.run(Test.name(4)).Broken_);
  CHECK(Test.run(Test.name(4)).Text_ == Text);
}

TEST_CASE("too long a text is neither asked for nor held") {
  Two Test;
  CHECK_FALSE(Test.Transfer_.named(DocumentVersion(4), MaxTextBytes + 1,
                                   DocumentVersion(3), Test.Now_));
  Test.Reader_.keep(DocumentVersion(4), std::string(MaxTextBytes + 1, 'x'));
  CHECK(Test.Reader_.newest() == DocumentVersion(3));
}

TEST_CASE("few texts are held, and never an older one than the newest") {
  DocumentTexts Texts;
  for (std::uint64_t Number = 1; Number <= 10; ++Number)
    Texts.keep(DocumentVersion(Number), "text");
  Texts.keep(DocumentVersion(2), "text");
  CHECK(Texts.find(DocumentVersion(10)));
  CHECK(Texts.find(DocumentVersion(8)));
  CHECK_FALSE(Texts.find(DocumentVersion(7)));
  CHECK_FALSE(Texts.find(DocumentVersion(2)));
}
