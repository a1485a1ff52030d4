#include "Version/Document.h"

#include "Common/Hash.h"

#include <algorithm>

namespace samphireshunt {

const BackendServer *Pool::find(const ServerName &Name) const {
  auto Found = std::ranges::find(Servers_, Name, &BackendServer::Name_);
  return Found == Servers_.end() ? nullptr : &*Found;
}

const Customer *Document::customerByKeyDigest(const std::string &Digest) const {
  auto Found = CustomerByDigest_.find(Digest);
  return Found == CustomerByDigest_.end() ? nullptr
                                          : &Customers_[Found->second];
}

const Customer *Document::customer(const CustomerName &Name) const {
  auto Found = std::ranges::find(Customers_, Name, &Customer::Name_);
  return Found == Customers_.end() ? nullptr : &*Found;
}

std::string_view withoutPort(std::string_view Host) {
  std::size_t Colon = Host.rfind(':');
  bool InBrackets = Host.find(']', Colon) != std::string_view::npos;
  return Colon == std::string_view::npos || InBrackets ? Host
                                                       : Host.substr(0, Colon);
}

namespace {

std::uint64_t routeHash(std::string_view Host, std::string_view Prefix) {
  return stableHash(Prefix, stableHash(Host));
}

} // namespace

std::optional<std::size_t> Document::firstRoute(std::string_view Host,
                                                std::string_view Prefix) const {
  return RouteTable_.find(routeHash(Host, Prefix), [&](std::size_t Index) {
    const Route &Known = *Routes_[Index];
    return Known.PathPrefix_ == Prefix && *Known.Host_ == Host;
  });
}

/// Of two routes with the same prefix, the first in the operator's order wins.
const Route *Document::routeWithPrefix(std::string_view Host,
                                       std::string_view Prefix) const {
  auto OfHost = firstRoute(Host, Prefix);
  auto OfAnyHost = firstRoute({}, Prefix);
  if (!OfHost && !OfAnyHost)
    return nullptr;
  std::size_t None = Routes_.size();
  return Routes_[std::min(OfHost.value_or(None), OfAnyHost.value_or(None))]
      .get();
}

const Route *Document::route(std::string_view Path,
                             std::string_view Host) const {
  std::string_view Name = withoutPort(Host);
  // A prefix only matches whole path segments: "/readings" must not match
  // "/readingsarchive".
  auto EndsAtSegment = [Path](std::size_t Length) {
    return Length == Path.size() || Path[Length] == '/' ||
           (Length > 0 && Path[Length - 1] == '/');
  };
  std::size_t Longest = std::min(Path.size(), LongestPrefix_);
  for (std::size_t Length = Longest + 1; Length-- > 0;) {
    if (!EndsAtSegment(Length))
      continue;
    std::string_view Prefix = Path.substr(0, Length);
    if (const Route *Found = routeWithPrefix(Name, Prefix))
      return Found;
  }
  return nullptr;
}

std::optional<TierIndex> Document::tier(std::string_view Name) const {
  auto Found = std::ranges::find(Tiers_, Name);
  if (Found == Tiers_.end())
    return std::nullopt;
  return TierIndex(static_cast<std::uint32_t>(Found - Tiers_.begin()));
}

void Document::buildIndex() {
  CustomerByDigest_.clear();
  for (std::size_t Index = 0; Index < Customers_.size(); ++Index)
    for (const std::string &Digest : Customers_[Index].KeyDigests_)
      CustomerByDigest_[Digest] = Index;
  RouteTable_ = IndexTable(Routes_.size());
  LongestPrefix_ = 0;
  for (std::size_t Index = 0; Index < Routes_.size(); ++Index) {
    const Route &Added = *Routes_[Index];
    RouteTable_.tryAdd(routeHash(*Added.Host_, Added.PathPrefix_), Index,
                       [&](std::size_t Known) {
                         return Routes_[Known]->PathPrefix_ ==
                                    Added.PathPrefix_ &&
                                *Routes_[Known]->Host_ == *Added.Host_;
                       });
    LongestPrefix_ = std::max(LongestPrefix_, Added.PathPrefix_.size());
  }
}

} // namespace samphireshunt
