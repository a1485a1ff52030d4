#include "Version/RcuCell.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <atomic>
#include <string>
#include <thread>
#include <vector>

using namespace samphireshunt;

TEST_CASE("readers keep their value while it is replaced") {
  // A value that is freed while a reader copies it, or read before it is
  // complete, shows as a text that was never written. The sanitizers detect
  // both faults.
  constexpr int Readers = 4;
  constexpr int Writes = 200;
  using Text = std::string;
  auto Numbered = [](int Number) {
    return std::make_shared<const Text>(64, static_cast<char>('a' + Number));
  };
  constexpr int Letters = 26;
  RcuCell<Text> Cell(Numbered(0));
  std::atomic<bool> Written = false;
  std::atomic<int> Torn = 0;
  auto Read = [&] {
    while (!Written) {
      auto Seen = Cell.read();
      bool Consistent =
          Seen->size() == 64 && std::ranges::count(*Seen, Seen->front()) == 64;
      Torn += Consistent ? 0 : 1;
    }
  };
  std::vector<std::jthread> Threads;
  for (int Index = 0; Index < Readers; ++Index)
    Threads.emplace_back(Read);
  for (int Number = 1; Number <= Writes; ++Number)
    Cell.write(Numbered(Number % Letters));
  Written = true;
  Threads.clear();
  CHECK(Torn == 0);
  CHECK(*Cell.read() == *Numbered(Writes % Letters));
}
