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

const Pool *Document::pool(const PoolName &Name) const {
  auto Found = std::ranges::find(Pools_, Name, &Pool::Name_);
  return Found == Pools_.end() ? nullptr : &*Found;
}

std::string_view withoutPort(std::string_view Host) {
  std::size_t Colon = Host.rfind(':');
  bool InBrackets = Host.find(']', Colon) != std::string_view::npos;
  return Colon == std::string_view::npos || InBrackets ? Host
                                                       : Host.substr(0, Colon);
}

const Route *Document::route(std::string_view Path,
                             std::string_view Host) const {
  std::string_view Name = withoutPort(Host);
  auto Matches = [Path, Name](const Route &Candidate) {
    const std::string &Prefix = Candidate.PathPrefix_;
    if (!Candidate.Host_.empty() && Candidate.Host_ != Name)
      return false;
    if (!Path.starts_with(Prefix))
      return false;
    // "/readings" must not take "/readingsarchive".
    return Prefix.ends_with('/') || Path.size() == Prefix.size() ||
           Path[Prefix.size()] == '/';
  };
  const Route *Best = nullptr;
  for (const Route &Candidate : Routes_)
    if (Matches(Candidate) &&
        (!Best || Candidate.PathPrefix_.size() > Best->PathPrefix_.size()))
      Best = &Candidate;
  return Best;
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
}

} // namespace samphireshunt
