/// \file
/// Whether the platform's service was away or this daemon was cut off.

#include "Process/Configuration/OutageCause.h"

#include <doctest/doctest.h>

using namespace samphireshunt;
using std::chrono::milliseconds;

TEST_CASE("a daemon that heard nobody while it had lost the service was cut "
          "off itself") {
  // Guards against servers that have left and are kept for an outage that only
  // this daemon had, and against live ones dropped after the service's own.
  constexpr milliseconds Never{-1};
  constexpr milliseconds HeardEvery{250};
  struct Row {
    const char *What_;
    /// When others began to be heard no more, and when they were again.
    milliseconds SilentFrom_, SilentTo_;
    milliseconds Lost_, Regained_;
    OutageCause Cause_;
  };
  constexpr OutageCause Own = OutageCause::Own;
  constexpr OutageCause Service = OutageCause::Service;
  for (const Row &Case : {
           Row{"cut off, noticed late", milliseconds(10000),
               milliseconds(14500), milliseconds(14000), milliseconds(15600),
               Own},
           Row{"cut off, refused at once", milliseconds(10000),
               milliseconds(13500), milliseconds(10100), milliseconds(14600),
               Own},
           Row{"cut off, service back before the first message",
               milliseconds(10000), milliseconds(14000), milliseconds(12000),
               milliseconds(13600), Own},
           Row{"frozen", milliseconds(10000), milliseconds(16000),
               milliseconds(16100), milliseconds(16300), Own},
           Row{"the service was away", Never, Never, milliseconds(10000),
               milliseconds(14000), Service},
           Row{"a part of the fleet, which hears itself, was cut off", Never,
               Never, milliseconds(12000), milliseconds(13500), Service},
           Row{"a pause between messages", milliseconds(10000),
               milliseconds(11000), milliseconds(10500), milliseconds(11200),
               Service},
           Row{"cut off within an outage of the service", milliseconds(14000),
               milliseconds(18000), milliseconds(10000), milliseconds(20000),
               Service},
           Row{"cut off as an outage of the service began", milliseconds(10000),
               milliseconds(13500), milliseconds(12000), milliseconds(20000),
               Service},
           Row{"the only daemon for long", milliseconds(1000),
               milliseconds(60000), milliseconds(10000), milliseconds(14000),
               Service},
           Row{"the only daemon ever", milliseconds(0), milliseconds(60000),
               milliseconds(10000), milliseconds(14000), Service},
       }) {
    CAPTURE(Case.What_);
    OutageObserver Observer{OutageObserver::Options()};
    BootTime Start{std::chrono::hours(1)};
    for (milliseconds At{0}; At <= Case.Regained_; At += milliseconds(50)) {
      bool Silent = At >= Case.SilentFrom_ && At < Case.SilentTo_;
      if (At.count() % HeardEvery.count() == 0 && !Silent)
        Observer.heardOther(Start + At);
      if (At >= Case.Lost_ && At < Case.Regained_)
        Observer.lost(Start + At);
    }
    CHECK(Observer.regained(Start + Case.Regained_) == Case.Cause_);
    CHECK(Observer.regained(Start + Case.Regained_) == Service);
  }
}
