#include "Process/Membership/PeerPort.h"

namespace samphireshunt {

Result<void>
openOnSamePort(const Endpoint &Wanted,
               const std::function<Result<Endpoint>()> &OpenTcp,
               const std::function<Result<void>(Endpoint)> &OpenUdp) {
  int Tries = Wanted.port() == 0 ? MaxPortAttempts : 1;
  while (true) {
    auto Address = OpenTcp();
    if (!Address)
      return Address.error();
    auto Opened = OpenUdp(*Address);
    if (Opened || --Tries == 0)
      return Opened;
  }
}

} // namespace samphireshunt
