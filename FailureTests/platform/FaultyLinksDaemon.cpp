/// \file
/// The daemon on the users' platform, with faults of its links to backend
/// servers that signals select.

#include "FailureTests/platform/LinkFaults.h"
#include "Programs/DaemonMain.h"
#include "platform/Adapter.h"

using namespace samphireshunt;

int main(int ArgumentCount, char **Arguments) {
  tests::LinkFaults Links;
  PlatformAdapter Adapter = platform::platformAdapter();
  Adapter.ConnectServer_ = Links.connector();
  return daemonMain(ArgumentCount, Arguments, std::move(Adapter));
}
