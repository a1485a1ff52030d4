#include "Process/Membership/PeerPort.h"

namespace samphireshunt {

Result<void>
openAtOnePort(const Endpoint &Wanted,
              const std::function<Result<Endpoint>()> &OpenStreams,
              const std::function<Result<void>(Endpoint)> &OpenDatagrams) {
  int Tries = Wanted.port() == 0 ? ChosenPortTries : 1;
  while (true) {
    auto Address = OpenStreams();
    if (!Address)
      return Address.error();
    auto Opened = OpenDatagrams(*Address);
    if (Opened || --Tries == 0)
      return Opened;
  }
}

} // namespace samphireshunt
