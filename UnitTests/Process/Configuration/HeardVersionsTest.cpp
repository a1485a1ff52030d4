#include "Process/Configuration/HeardVersions.h"

#include <doctest/doctest.h>

using namespace samphireshunt;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr TimePoint Start{seconds(1000)};
const VmId First("first");
const VmId Second("second");
constexpr DocumentVersion Old(3);
constexpr DocumentVersion New(5);

HeardVersions heard() {
  HeardVersions Built{HeardVersions::Options()};
  Built.heard(First, New, Old, Start);
  return Built;
}

} // namespace

TEST_CASE("a version is requested when it has not arrived from the reader or "
          "the service") {
  HeardVersions Heard = heard();
  CHECK(Heard.missing(Old, Start));
  CHECK_FALSE(Heard.due(Old, Start + milliseconds(399)));
  auto Due = Heard.due(Old, Start + milliseconds(400));
  REQUIRE(Due);
  CHECK(Due->By_ == First);
  CHECK(Due->Version_ == New);
  CHECK_FALSE(Heard.due(New, Start + milliseconds(401)));
}

TEST_CASE("the active version and older ones are not missing") {
  HeardVersions Heard{HeardVersions::Options()};
  Heard.heard(First, Old, Old, Start);
  Heard.heard(First, DocumentVersion(1), Old, Start);
  CHECK_FALSE(Heard.missing(Old, Start));
}

// Otherwise a version that a daemon announces and does not deliver would hide
// those of all other daemons permanently.
TEST_CASE("announcements of a daemon that does not deliver a version are "
          "ignored for a while") {
  HeardVersions Heard = heard();
  CHECK_FALSE(Heard.missing(Old, Start + seconds(3)));
  Heard.heard(First, New, Old, Start + seconds(4));
  CHECK_FALSE(Heard.missing(Old, Start + seconds(4)));
  Heard.heard(Second, New, Old, Start + seconds(4));
  CHECK(Heard.missing(Old, Start + seconds(4)));
  Heard.notHandedOver(Second, Start + seconds(4));
  Heard.heard(First, New, Old, Start + seconds(13));
  CHECK(Heard.missing(Old, Start + seconds(13)));
}

TEST_CASE("of two versions the newer one is requested") {
  HeardVersions Heard = heard();
  Heard.heard(Second, DocumentVersion(6), Old, Start);
  Heard.heard(First, New, Old, Start);
  auto Due = Heard.due(Old, Start + seconds(1));
  REQUIRE(Due);
  CHECK(Due->By_ == Second);
}
