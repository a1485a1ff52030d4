#include "Version/IndexTable.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

using namespace samphireshunt;

TEST_CASE("the table finds the first of equal elements, whatever the hashes") {
  // With few hashes nearly all elements are in each other's way, also past the
  // end of the slots.
  bool Holds = rc::check([](const std::vector<std::uint8_t> &Elements) {
    std::uint64_t Spread = *rc::gen::element<std::uint64_t>(
        0, 1, 0x2000000000000000, ~std::uint64_t(0));
    auto HashOf = [Spread](std::uint8_t Element) {
      return Element % 8 * Spread;
    };
    IndexTable Table(Elements.size());
    for (std::size_t Index = 0; Index < Elements.size(); ++Index)
      Table.tryAdd(HashOf(Elements[Index]), Index, [&](std::size_t Known) {
        return Elements[Known] == Elements[Index];
      });
    for (unsigned Wanted = 0; Wanted < 256; ++Wanted) {
      auto Element = static_cast<std::uint8_t>(Wanted);
      auto Found = Table.find(HashOf(Element), [&](std::size_t Known) {
        return Elements[Known] == Element;
      });
      auto First = std::ranges::find(Elements, Element);
      RC_ASSERT(Found.has_value() == (First != Elements.end()));
      if (Found)
        RC_ASSERT(*Found == static_cast<std::size_t>(First - Elements.begin()));
    }
  });
  CHECK(Holds);
}

TEST_CASE("a table without room finds nothing") {
  auto Any = [](std::size_t) { return true; };
  CHECK_FALSE(IndexTable().find(0, Any).has_value());
  CHECK_FALSE(IndexTable(0).find(0, Any).has_value());
}
