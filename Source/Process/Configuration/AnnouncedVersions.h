#pragma once
/// \file
/// Configuration versions that other daemons announce in their gossip, and
/// which daemon to ask for a version that arrives in no other way: the service
/// has lost it, or this daemon is cut off from those that read the service.
/// Pure.

#include "Common/Ids.h"
#include "Common/TimePoint.h"

#include <chrono>
#include <map>
#include <optional>

namespace samphireshunt {

class AnnouncedVersions {
public:
  struct Options {
    /// How long to wait for the version to arrive from the reader or the
    /// service, which normally takes less.
    std::chrono::milliseconds RequestDelay_{400};
    /// A version that its announcer does not deliver within this time is
    /// ignored.
    std::chrono::milliseconds DeliveryTimeout_{3000};
    /// How long announcements of a daemon are ignored after it failed to
    /// deliver a version that it had announced.
    std::chrono::milliseconds IgnoreTime_{10000};
  };
  /// A version, and the daemon that announced it.
  struct Announcement {
    VmId Announcer_;
    DocumentVersion Version_;
    TimePoint Since_;
    /// Since when the announcer could have been asked.
    TimePoint AskableSince_;
  };

  explicit AnnouncedVersions(Options Settings) : Options_(Settings) {}

  void noteAnnounced(const VmId &Peer, DocumentVersion Version,
                     DocumentVersion Active, TimePoint Now);
  /// Called when \p Peer does not have the announced version, or did not
  /// deliver it.
  void notDelivered(const VmId &Peer, TimePoint Now);
  /// Called before due() while the text of \p Arriving comes from the reader. A
  /// newer version waits for it for less than \p MaxWait (0: without limit),
  /// and its time of delivery does not run meanwhile. \returns true if no
  /// announcer is to be asked.
  bool waitsFor(DocumentVersion Arriving, std::chrono::nanoseconds MaxWait,
                TimePoint Now);
  /// The newest announced version that is not active, until it is given up.
  std::optional<Announcement> missing(DocumentVersion Active, TimePoint Now);
  /// The same, but only once it is time to ask for it.
  std::optional<Announcement> due(DocumentVersion Active, TimePoint Now);

private:
  Options Options_;
  std::optional<Announcement> Newest_;
  std::map<VmId, TimePoint> IgnoredUntil_;
};

} // namespace samphireshunt
