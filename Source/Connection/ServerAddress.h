#pragma once
/// \file
/// Which addresses a backend server can have. Anybody who can write the list of
/// servers chooses what daemons connect to.

#include "Connection/Http.h"

#include <set>
#include <string_view>
#include <vector>

namespace samphireshunt {

/// Parses "address:port" of a backend server. \returns BadSetting for text that
/// parseEndpoint() refuses, and for what no server can have: port 0, an
/// unspecified, a multicast or the broadcast address.
Result<Endpoint> parseServerAddress(std::string_view Text);

/// The addresses at which this process listens. Pure.
class OwnAddresses {
public:
  using Address = boost::asio::ip::address;

  OwnAddresses() = default;
  /// \param Listening may be unspecified, which stands for all of \p Machine.
  /// \param Machine the addresses of this machine.
  OwnAddresses(std::vector<Endpoint> Listening, std::set<Address> Machine);

  /// \returns whether a connection to \p Target would end at this process.
  bool contains(const Endpoint &Target) const;

private:
  std::vector<Endpoint> Listening_;
  std::set<Address> Machine_;
};

/// \returns the addresses of this machine's interfaces; none if the system
/// doesn't tell.
std::set<OwnAddresses::Address> machineAddresses();

} // namespace samphireshunt
