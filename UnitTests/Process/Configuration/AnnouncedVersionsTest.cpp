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

AnnouncedVersions withNewAnnounced() {
  AnnouncedVersions Built{AnnouncedVersions::Options()};
  Built.noteAnnounced(First, New, Old, Start);
  return Built;
}

} // namespace

TEST_CASE("a version is requested when it has not arrived from the reader or "
          "the service") {
  AnnouncedVersions Announced = withNewAnnounced();
  CHECK(Announced.missing(Old, Start));
  CHECK_FALSE(Announced.due(Old, Start + milliseconds(399)));
  auto Due = Announced.due(Old, Start + milliseconds(400));
  REQUIRE(Due);
  CHECK(Due->Announcer_ == First);
  CHECK(Due->Version_ == New);
  CHECK_FALSE(Announced.due(New, Start + milliseconds(401)));
}

TEST_CASE("the active version and older ones are not missing") {
  AnnouncedVersions Announced{AnnouncedVersions::Options()};
  Announced.noteAnnounced(First, Old, Old, Start);
  Announced.noteAnnounced(First, DocumentVersion(1), Old, Start);
  CHECK_FALSE(Announced.missing(Old, Start));
}

TEST_CASE("a version that no configuration can have is not missing") {
  // The announced one would hide those of all other daemons.
  AnnouncedVersions Announced{AnnouncedVersions::Options()};
  Announced.noteAnnounced(First, DocumentVersion(1ULL << 53), Old, Start);
  CHECK_FALSE(Announced.missing(Old, Start));
}

// Otherwise a version that a daemon announces and does not deliver would hide
// those of all other daemons permanently.
TEST_CASE("announcements of a daemon that does not deliver a version are "
          "ignored for a while") {
  AnnouncedVersions Announced = withNewAnnounced();
  CHECK_FALSE(Announced.missing(Old, Start + seconds(3)));
  Announced.noteAnnounced(First, New, Old, Start + seconds(4));
  CHECK_FALSE(Announced.missing(Old, Start + seconds(4)));
  Announced.noteAnnounced(Second, New, Old, Start + seconds(4));
  CHECK(Announced.missing(Old, Start + seconds(4)));
  Announced.notDelivered(Second, Start + seconds(4));
  Announced.noteAnnounced(First, New, Old, Start + seconds(13));
  CHECK(Announced.missing(Old, Start + seconds(13)));
}

TEST_CASE("of two versions the newer one is requested") {
  AnnouncedVersions Announced = withNewAnnounced();
  Announced.noteAnnounced(Second, DocumentVersion(6), Old, Start);
  Announced.noteAnnounced(First, New, Old, Start);
  auto Due = Announced.due(Old, Start + seconds(1));
  REQUIRE(Due);
  CHECK(Due->Announcer_ == Second);
}

TEST_CASE("a newer version waits for an older text that arrives, for a limited "
          "time in which its announcer doesn't count as failed") {
  constexpr milliseconds MaxWait{1500};
  AnnouncedVersions Announced = withNewAnnounced();
  CHECK(Announced.waitsFor(DocumentVersion(4), MaxWait,
                           Start + milliseconds(1499)));
  CHECK_FALSE(Announced.waitsFor(DocumentVersion(4), MaxWait,
                                 Start + milliseconds(1500)));
  // The same version, or one without a time to apply it.
  CHECK(Announced.waitsFor(New, MaxWait, Start + seconds(4)));
  CHECK(Announced.waitsFor(DocumentVersion(4), milliseconds(0),
                           Start + seconds(6)));
  CHECK(Announced.due(Old, Start + milliseconds(8999)));
  CHECK_FALSE(Announced.due(Old, Start + seconds(9)));
}
