#include "Version/Document.h"

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

const Document::RoutesByPrefix *
Document::routesForHost(std::string_view Host) const {
  auto Found = RoutesByHost_.find(Host);
  return Found == RoutesByHost_.end() ? nullptr : &Found->second;
}

/// Of two routes with the same prefix, the first in the operator's order wins.
const Route *Document::routeWithPrefix(const RoutesByPrefix *OfHost,
                                       const RoutesByPrefix *OfAnyHost,
                                       std::string_view Prefix) const {
  std::size_t First = Routes_.size();
  for (const RoutesByPrefix *Known : {OfHost, OfAnyHost}) {
    if (!Known)
      continue;
    auto Found = Known->find(Prefix);
    if (Found != Known->end())
      First = std::min(First, Found->second);
  }
  return First == Routes_.size() ? nullptr : Routes_[First].get();
}

const Route *Document::route(std::string_view Path,
                             std::string_view Host) const {
  const RoutesByPrefix *OfHost = routesForHost(withoutPort(Host));
  const RoutesByPrefix *OfAnyHost = routesForHost({});
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
    if (const Route *Found = routeWithPrefix(OfHost, OfAnyHost, Prefix))
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
  RoutesByHost_.clear();
  LongestPrefix_ = 0;
  for (std::size_t Index = 0; Index < Routes_.size(); ++Index) {
    const Route &Known = *Routes_[Index];
    RoutesByHost_[Known.Host_].try_emplace(Known.PathPrefix_, Index);
    LongestPrefix_ = std::max(LongestPrefix_, Known.PathPrefix_.size());
  }
}

} // namespace samphireshunt
