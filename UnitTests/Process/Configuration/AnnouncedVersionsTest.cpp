#include "Process/Configuration/AnnouncedVersions.h"

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

AnnouncedVersions noteAnnounced() {
  AnnouncedVersions Built{AnnouncedVersions::Options()};
  Built.noteAnnounced(First, New, Old, Start);
  return Built;
}

} // namespace

TEST_CASE("a version is requested when it has not arrived from the reader or "
          "the service") {
  AnnouncedVersions Heard = noteAnnounced();
  CHECK(Heard.missing(Old, Start));
  CHECK_FALSE(Heard.due(Old, Start + milliseconds(399)));
  auto Due = Heard.due(Old, Start + milliseconds(400));
  REQUIRE(Due);
  CHECK(Due->Announcer_ == First);
  CHECK(Due->Version_ == New);
  CHECK_FALSE(Heard.due(New, Start + milliseconds(401)));
}

TEST_CASE("the active version and older ones are not missing") {
  AnnouncedVersions Heard{AnnouncedVersions::Options()};
  Heard.noteAnnounced(First, Old, Old, Start);
  Heard.noteAnnounced(First, DocumentVersion(1), Old, Start);
  CHECK_FALSE(Heard.missing(Old, Start));
}

// Otherwise a version that a daemon announces and does not deliver would hide
// those of all other daemons permanently.
TEST_CASE("announcements of a daemon that does not deliver a version are "
          "ignored for a while") {
  AnnouncedVersions Heard = noteAnnounced();
  CHECK_FALSE(Heard.missing(Old, Start + seconds(3)));
  Heard.noteAnnounced(First, New, Old, Start + seconds(4));
  CHECK_FALSE(Heard.missing(Old, Start + seconds(4)));
  Heard.noteAnnounced(Second, New, Old, Start + seconds(4));
  CHECK(Heard.missing(Old, Start + seconds(4)));
  Heard.notDelivered(Second, Start + seconds(4));
  Heard.noteAnnounced(First, New, Old, Start + seconds(13));
  CHECK(Heard.missing(Old, Start + seconds(13)));
}

TEST_CASE("of two versions the newer one is requested") {
  AnnouncedVersions Heard = noteAnnounced();
  Heard.noteAnnounced(Second, DocumentVersion(6), Old, Start);
  Heard.noteAnnounced(First, New, Old, Start);
  auto Due = Heard.due(Old, Start + seconds(1));
  REQUIRE(Due);
  CHECK(Due->Announcer_ == Second);
}
