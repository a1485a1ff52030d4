#include "Process/Configuration/TextPacking.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace samphireshunt;

namespace {

/// Text that does not compress by itself.
std::string incompressibleText(std::size_t Size) {
  std::string Text;
  std::uint32_t Next = 1;
  while (Text.size() < Size) {
    Next = Next * 1664525 + 1013904223;
    Text += static_cast<char>(Next >> 24);
  }
  return Text;
}

} // namespace

TEST_CASE("a text compressed with a prefix decompresses with it") {
  CHECK(rc::check([](const std::string &Text, const std::string &Prefix) {
    auto Packed = packText(Text, Prefix);
    RC_ASSERT(Packed.has_value());
    RC_ASSERT(Packed->size() <= maxPackedSize(Text.size()));
    RC_ASSERT(unpackText(*Packed, Text.size(), Prefix) == Text);
    RC_ASSERT(!unpackText(*Packed, Text.size() + 1, Prefix));
  }));
}

TEST_CASE("a text similar to its prefix compresses to little") {
  std::string Before = incompressibleText(3000000);
  std::string After = Before;
  After.insert(1000000, "a new route");
  After.erase(2000000, 1000);
  auto Packed = packText(After, Before);
  REQUIRE(Packed);
  CHECK(Packed->size() < 2000);
  CHECK(unpackText(*Packed, After.size(), Before) == After);
}

TEST_CASE("invalid compressed bytes are rejected") {
  std::string Text = incompressibleText(10000);
  std::string Packed = packText(Text, "").value();
  CHECK_FALSE(unpackText("", Text.size(), ""));
  CHECK_FALSE(unpackText(incompressibleText(500), Text.size(), ""));
  CHECK_FALSE(unpackText(Packed.substr(0, Packed.size() - 1), Text.size(), ""));
  CHECK_FALSE(unpackText(Packed, Text.size() - 1, ""));
}
