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
class TransferFixture {
public:
  TransferFixture() {
    for (DocumentTexts *Texts : {&Reader_, &Follower_})
      Texts->store(DocumentVersion(3), textOf(3, 100000));
  }
  std::optional<wire::TextAskT> announce(std::uint64_t Number) {
    auto Text = Reader_.find(DocumentVersion(Number));
    return Transfer_.onAnnounced(DocumentVersion(Number),
                                 Text ? Text->size() : 1, Follower_.newest(),
                                 Now_);
  }
  DocumentTransfer::Step deliver(const wire::TextPartT &Chunk) {
    return Transfer_.received(Chunk, Follower_, Now_);
  }
  /// Runs the transfer from \p Request on.
  /// \returns its last step.
  DocumentTransfer::Step runFrom(std::optional<wire::TextAskT> Request) {
    DocumentTransfer::Step Last;
    Last.Request_ = std::move(Request);
    while (Last.Request_) {
      ++Chunks_;
      Last = deliver(Reader_.chunk(*Last.Request_));
    }
    return Last;
  }

  DocumentTexts Reader_;
  DocumentTexts Follower_;
  DocumentTransfer Transfer_;
  DocumentTransfer::TimePoint Now_{LongAgo};
  int Chunks_ = 0;
};

} // namespace

TEST_CASE("a text arrives whole, in chunks of a bounded length") {
  TransferFixture Test;
  std::string Text = textOf(4, 100000);
  Test.Reader_.store(DocumentVersion(4), Text);
  CHECK(Test.Transfer_.lacks(DocumentVersion(4), DocumentVersion(3)));
  CHECK(Test.runFrom(Test.announce(4)).Text_ == Text);
  CHECK(Test.Chunks_ == 7);
  // The text may be one that can't be parsed, so it is not requested
  // repeatedly.
  CHECK_FALSE(Test.Transfer_.lacks(DocumentVersion(4), DocumentVersion(3)));
  CHECK(Test.Transfer_.lacks(DocumentVersion(5), DocumentVersion(3)));
}

TEST_CASE("a text similar to one that both have arrives in one chunk") {
  TransferFixture Test;
  std::string Text = textOf(3, 100000) + "a new route";
  Test.Reader_.store(DocumentVersion(4), Text);
  CHECK(Test.runFrom(Test.announce(4)).Text_ == Text);
  CHECK(Test.Chunks_ == 1);
}

TEST_CASE("a text arrives without a common prefix") {
  TransferFixture Test;
  std::string Text = textOf(4, 100000);
  Test.Reader_.store(DocumentVersion(4), Text);
  Test.Follower_ = DocumentTexts();
  SUBCASE("none") {}
  SUBCASE("unknown") { Test.Follower_.store(DocumentVersion(2), "another"); }
  CHECK(Test.runFrom(Test.announce(4)).Text_ == Text);
}

TEST_CASE("a text in transfer is not requested again, unless a chunk is "
          "overdue") {
  TransferFixture Test;
  Test.Reader_.store(DocumentVersion(4), textOf(4, 100000));
  auto First = Test.announce(4);
  REQUIRE(First);
  CHECK_FALSE(Test.announce(4));
  auto Second = Test.deliver(Test.Reader_.chunk(*First));
  REQUIRE(Second.Request_);
  Test.Now_ += milliseconds(1000);
  CHECK_FALSE(Test.announce(4));
  Test.Now_ += milliseconds(1000);
  auto Again = Test.announce(4);
  REQUIRE(Again);
  CHECK(Again->offset == TextChunkBytes);
  // Both requests are answered in the end, and only one of the answers is used.
  auto Chunk = Test.Reader_.chunk(*Again);
  CHECK(Test.deliver(Chunk).Request_);
  CHECK_FALSE(Test.deliver(Chunk).Request_);
}

TEST_CASE("a newer text that arrives sooner replaces the one in transfer") {
  TransferFixture Test;
  Test.Reader_.store(DocumentVersion(4), textOf(4, 100000));
  auto Request = Test.announce(4);
  REQUIRE(Request);
  auto Next = Test.deliver(Test.Reader_.chunk(*Request));
  REQUIRE(Next.Request_);
  std::string Text = textOf(5, 50000);
  Test.Reader_.store(DocumentVersion(5), Text);
  // A chunk is on its way, and the reader decides with the next one.
  CHECK_FALSE(Test.announce(5));
  auto Ended = Test.deliver(Test.Reader_.chunk(*Next.Request_));
  CHECK_FALSE(Ended.Request_);
  CHECK_FALSE(Ended.Invalid_);
  auto Newer = Test.announce(5);
  REQUIRE(Newer);
  CHECK(Newer->version == 5);
  CHECK(Newer->offset == 0);
  // The answer for the earlier text, which is late.
  CHECK_FALSE(Test.deliver(Test.Reader_.chunk(*Request)).Request_);
  CHECK(Test.runFrom(Newer).Text_ == Text);
}

TEST_CASE("a text in transfer of which less is left than the newer one takes "
          "goes on, and is the prefix of the newer one") {
  TransferFixture Test;
  std::string Older = textOf(4, 100000);
  Test.Reader_.store(DocumentVersion(4), Older);
  auto Request = Test.announce(4);
  REQUIRE(Request);
  auto Next = Test.deliver(Test.Reader_.chunk(*Request));
  std::string Text = Older + textOf(5, 10000);
  Test.Reader_.store(DocumentVersion(5), Text);
  CHECK_FALSE(Test.announce(5));
  REQUIRE(Next.Request_);
  CHECK(Next.Request_->version == 4);
  CHECK(Test.runFrom(Next.Request_).Text_ == Older);
  CHECK(Test.Transfer_.lacks(DocumentVersion(5), DocumentVersion(3)));
  Test.Follower_.store(DocumentVersion(4), Older);
  Test.Chunks_ = 0;
  CHECK(Test.runFrom(Test.announce(5)).Text_ == Text);
  CHECK(Test.Chunks_ == 1);
}

TEST_CASE("the transfer of a text that the reader no longer has ends, and "
          "that of the next one begins") {
  TransferFixture Test;
  Test.Reader_.store(DocumentVersion(4), textOf(4, 100000));
  auto Request = Test.announce(4);
  std::string Text = textOf(5, 50000);
  Test.Reader_.store(DocumentVersion(5), Text);
  auto Last = Test.runFrom(Request);
  CHECK_FALSE(Last.Text_);
  CHECK_FALSE(Last.Invalid_);
  CHECK(Test.runFrom(Test.announce(5)).Text_ == Text);
}

TEST_CASE("a text that is not what it was named as is discarded, and "
          "requested again without a prefix") {
  TransferFixture Test;
  std::string Text = textOf(4, 100000);
  Test.Reader_.store(DocumentVersion(4), Text);
  auto Request = Test.announce(4);
  REQUIRE(Request);
  CHECK(Request->held_version == 3);
  auto Chunk = Test.Reader_.chunk(*Request);
  SUBCASE("a wrong byte") { Chunk.bytes[TextChunkBytes / 2] ^= 0xff; }
  SUBCASE("a wrong hash") { Chunk.hash ^= 1; }
  SUBCASE("a wrong size") { --Chunk.size; }
  SUBCASE("another prefix") { Chunk.held_version = 2; }
  SUBCASE("longer than it can be") { Chunk.packed_size = 1000000000; }
  SUBCASE("longer than all") { Chunk.packed_size = 10; }
  SUBCASE("no bytes") { Chunk.bytes.clear(); }
  auto Step = Test.deliver(Chunk);
  auto Last = Step.Request_ ? Test.runFrom(Step.Request_) : std::move(Step);
  CHECK(Last.Invalid_);
  CHECK_FALSE(Last.Text_);
  auto Again = Test.announce(4);
  REQUIRE(Again);
  CHECK(Again->held_version == 0);
  CHECK(Again->offset == 0);
  CHECK(Test.runFrom(Again).Text_ == Text);
}

TEST_CASE("a reader that forgets the prefix during a transfer makes it begin "
          "again, and that isn't an error") {
  // Guards against a line in the log that blames the texts.
  TransferFixture Test;
  std::string Text = textOf(4, 100000);
  Test.Reader_.store(DocumentVersion(4), Text);
  auto Request = Test.announce(4);
  REQUIRE(Request);
  auto Next = Test.deliver(Test.Reader_.chunk(*Request));
  Test.Reader_ = DocumentTexts();
  Test.Reader_.store(DocumentVersion(4), Text);
  auto Last = Test.runFrom(Next.Request_);
  CHECK_FALSE(Last.Invalid_);
  CHECK_FALSE(Last.Text_);
  CHECK(Test.runFrom(Test.announce(4)).Text_ == Text);
}

TEST_CASE("a different prefix of the same version is detected") {
  TransferFixture Test;
  Test.Follower_ = DocumentTexts();
  Test.Follower_.store(DocumentVersion(3), textOf(9, 100000));
  std::string Text = textOf(3, 100000) + "a new route";
  Test.Reader_.store(DocumentVersion(4), Text);
  CHECK(Test.runFrom(Test.announce(4)).Invalid_);
  CHECK(Test.runFrom(Test.announce(4)).Text_ == Text);
}

TEST_CASE("a text that is too long is neither requested nor stored") {
  TransferFixture Test;
  CHECK_FALSE(Test.Transfer_.onAnnounced(DocumentVersion(4), MaxTextBytes + 1,
                                         DocumentVersion(3), Test.Now_));
  Test.Reader_.store(DocumentVersion(4), std::string(MaxTextBytes + 1, 'x'));
  CHECK(Test.Reader_.newest() == DocumentVersion(3));
}

TEST_CASE("the longest text follows from the memory, and is never shorter than "
          "where the memory isn't considered") {
  // Guards against a daemon with little memory that refuses a configuration
  // which it can hold.
  constexpr std::size_t Mb = 1024 * 1024;
  CHECK(maxTextBytesFor(0) == 64 * Mb);
  CHECK(maxTextBytesFor(1) == MaxTextBytes);
  CHECK(maxTextBytesFor(64 * Mb) == MaxTextBytes);
  CHECK(maxTextBytesFor(88 * Mb) == MaxTextBytes);
  CHECK(maxTextBytesFor(184 * Mb) == 20 * Mb);
  CHECK(maxTextBytesFor(4096 * Mb) == 64 * Mb);
}

TEST_CASE("few texts are stored, and none that is older than the newest when "
          "it arrives") {
  DocumentTexts Texts;
  for (std::uint64_t Number = 1; Number <= 10; ++Number)
    Texts.store(DocumentVersion(Number), "text");
  Texts.store(DocumentVersion(2), "text");
  CHECK(Texts.find(DocumentVersion(10)));
  CHECK(Texts.find(DocumentVersion(8)));
  CHECK_FALSE(Texts.find(DocumentVersion(7)));
  CHECK_FALSE(Texts.find(DocumentVersion(2)));
}
