#include "Process/Streams/StreamOrigins.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace samphireshunt;
using std::chrono::milliseconds;

namespace {

constexpr TimePoint Start{std::chrono::seconds(1000)};
const StreamOrigin First{PoolName("p"), SoftwareVersion("v1")};
const StreamOrigin Second{PoolName("p"), SoftwareVersion("v2")};

StreamKey key(int Number) {
  return streamKey(CustomerName("c"), std::to_string(Number));
}

} // namespace

TEST_CASE("a stream's record ends when its caller can't come back") {
  StreamOrigins Origins;
  Origins.add(key(1), First, Start + milliseconds(100), Start);
  CHECK(Origins.find(key(1), Start + milliseconds(99)) == First);
  CHECK_FALSE(Origins.find(key(1), Start + milliseconds(100)));
  Origins.add(key(2), First, Start + milliseconds(300),
              Start + milliseconds(200));
  CHECK(Origins.size() == 1);
}

TEST_CASE("an id that two streams of different versions have is unknown") {
  // Guards against a stream that goes on as another one under the same id.
  StreamOrigins Origins;
  Origins.add(key(1), First, Start + milliseconds(100), Start);
  Origins.add(key(1), First, Start + milliseconds(200), Start);
  CHECK(Origins.find(key(1), Start + milliseconds(150)) == First);
  Origins.add(key(1), Second, Start + milliseconds(300), Start);
  CHECK_FALSE(Origins.find(key(1), Start));
}

TEST_CASE("no customer learns of another one's streams") {
  CHECK(streamKey(CustomerName("a"), "1") != streamKey(CustomerName("b"), "1"));
  CHECK(streamKey(CustomerName("a"), "b1") !=
        streamKey(CustomerName("ab"), "1"));
  CHECK(streamKey(CustomerName(), "1") != streamKey(CustomerName("a"), "1"));
}

TEST_CASE("the number of records is bounded") {
  // Guards against a burst of streams that fills the memory of a VM.
  StreamOrigins Origins;
  int Count = static_cast<int>(StreamOrigins::MaxRecords) + 10;
  for (int Number = 0; Number < Count; ++Number)
    Origins.add(key(Number), First, Start + milliseconds(1000 + Number), Start);
  CHECK(Origins.size() == StreamOrigins::MaxRecords);
  CHECK_FALSE(Origins.find(key(9), Start));
  CHECK(Origins.find(key(10), Start) == First);
}

TEST_CASE("records move only from a daemon that is gone") {
  std::vector<VmId> Fleet;
  for (int Index = 0; Index < 20; ++Index)
    Fleet.emplace_back(fmt::format("vm-{}", Index));
  for (int Number = 0; Number < 50; ++Number) {
    auto Before = recordKeepers(key(Number), Fleet, 3);
    std::vector<VmId> Rest = Fleet;
    std::erase(Rest, Before[0]);
    auto After = recordKeepers(key(Number), Rest, 2);
    CHECK(After == std::vector<VmId>(Before.begin() + 1, Before.end()));
  }
  CHECK(recordKeepers(key(1), {}, 3).empty());
}
