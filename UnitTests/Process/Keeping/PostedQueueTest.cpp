#include "Process/Keeping/PostedQueue.h"

#include <doctest/doctest.h>

#include <optional>
#include <vector>

using namespace samphireshunt;

TEST_CASE("queued values are delivered later, in order, and in one iteration") {
  boost::asio::io_context Context;
  std::vector<int> Delivered;
  PostedQueue<int> Queue(Context, [&](int Next) { Delivered.push_back(Next); });
  Queue.push(1);
  Queue.push(2);
  CHECK(Delivered.empty());
  CHECK(Context.poll_one() == 1);
  CHECK(Delivered == std::vector{1, 2});
}

TEST_CASE("values queued during a delivery wait for the next iteration") {
  boost::asio::io_context Context;
  std::vector<int> Delivered;
  std::optional<PostedQueue<int>> Queue;
  Queue.emplace(Context, [&](int Next) {
    if (Next < 3)
      Queue->push(Next + 10);
    Delivered.push_back(Next);
  });
  Queue->push(1);
  Queue->push(2);
  Context.poll_one();
  CHECK(Delivered == std::vector{1, 2});
  Context.poll_one();
  CHECK(Delivered == std::vector{1, 2, 11, 12});
}

TEST_CASE("a destroyed queue delivers nothing") {
  boost::asio::io_context Context;
  int Delivered = 0;
  std::optional<PostedQueue<int>> Queue;
  Queue.emplace(Context, [&](int) { ++Delivered; });
  Queue->push(1);
  Queue.reset();
  Context.poll();
  CHECK(Delivered == 0);
}
