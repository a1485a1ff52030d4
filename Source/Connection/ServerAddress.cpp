#include "Connection/ServerAddress.h"

#include <boost/asio/ip/address.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <cstring>
#include <utility>

#include <ifaddrs.h>
#include <netinet/in.h>

namespace samphireshunt {

namespace {

namespace ip = boost::asio::ip;

/// \returns an IPv4 address that is written as an IPv6 one as the former.
ip::address plain(const ip::address &Address) {
  if (Address.is_v6() && Address.to_v6().is_v4_mapped())
    return ip::make_address_v4(ip::v4_mapped, Address.to_v6());
  return Address;
}

} // namespace

Result<Endpoint> parseServerAddress(std::string_view Text) {
  auto Parsed = parseEndpoint(Text);
  if (!Parsed)
    return Parsed;
  ip::address Address = plain(Parsed->address());
  bool IsBroadcast = Address == ip::address_v4::broadcast();
  bool Usable = Parsed->port() != 0 && !Address.is_unspecified() &&
                !Address.is_multicast() && !IsBroadcast;
  if (Usable)
    return Parsed;
  return Failure{ResultCode::BadSetting,
                 fmt::format("'{}' can't be the address of a server", Text)};
}

OwnAddresses::OwnAddresses(std::vector<Endpoint> Listening,
                           std::set<Address> Machine)
    : Listening_(std::move(Listening)), Machine_(std::move(Machine)) {}

bool OwnAddresses::contains(const Endpoint &Target) const {
  ip::address Address = plain(Target.address());
  bool IsLocal = Address.is_loopback() || Machine_.contains(Address);
  return std::ranges::any_of(Listening_, [&](const Endpoint &Own) {
    if (Own.port() != Target.port())
      return false;
    return Own.address().is_unspecified() ? IsLocal
                                          : plain(Own.address()) == Address;
  });
}

std::set<ip::address> machineAddresses() {
  std::set<ip::address> Found;
  ifaddrs *First = nullptr;
  if (getifaddrs(&First) != 0)
    return Found;
  for (const ifaddrs *Next = First; Next; Next = Next->ifa_next) {
    if (!Next->ifa_addr)
      continue;
    if (Next->ifa_addr->sa_family == AF_INET) {
      sockaddr_in Known{};
      std::memcpy(&Known, Next->ifa_addr, sizeof(Known));
      Found.insert(ip::address_v4(ntohl(Known.sin_addr.s_addr)));
    } else if (Next->ifa_addr->sa_family == AF_INET6) {
      sockaddr_in6 Known{};
      std::memcpy(&Known, Next->ifa_addr, sizeof(Known));
      ip::address_v6::bytes_type Bytes;
      std::ranges::copy(Known.sin6_addr.s6_addr, Bytes.begin());
      Found.insert(ip::address_v6(Bytes));
    }
  }
  freeifaddrs(First);
  return Found;
}

} // namespace samphireshunt
