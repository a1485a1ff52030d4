#include "Version/VersionedDocument.h"

#include "UnitTests/OddNumbers.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace samphireshunt;

// A document of version 1e300 was taken as version 2^64-1, and daemons followed
// no other from then on.
TEST_CASE("a stored document whose version can't be counted on is refused") {
  tests::checkOddNumbers("version", {}, [](const std::string &Number) {
    return VersionedDocument::decode(fmt::format(
        R"({{"version":{},"changes":[],"document":{{}}}})", Number));
  });
  for (const char *Valid : {"1", "7.0", "9007199254740991"})
    CHECK(VersionedDocument::decode(
              fmt::format(R"({{"version":{},"changes":[],"document":{{}}}})",
                          Valid))
              .has_value());
}

TEST_CASE("the next version is above the stored one and what is active") {
  VersionedDocument Stored;
  Stored.Version_ = DocumentVersion(4);
  CHECK(Stored.next(DocumentVersion(2), "c", "{}")->Version_ ==
        DocumentVersion(5));
  CHECK(Stored.next(DocumentVersion(9), "c", "{}")->Version_ ==
        DocumentVersion(10));
  for (DocumentVersion Active : {DocumentVersion(), MaxDocumentVersion}) {
    Stored.Version_ = MaxDocumentVersion - Active;
    auto Next = Stored.next(Active, "c", "{}");
    REQUIRE_FALSE(Next.has_value());
    CHECK(Next.error().Code_ == ResultCode::DocumentSchema);
  }
}
