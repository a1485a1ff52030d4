#include "Version/DocumentStore.h"

#include "Common/Log.h"
#include "Version/DocumentReader.h"

#include <algorithm>

namespace samphireshunt {

namespace {

std::string_view withoutPort(std::string_view Host) {
  std::size_t Colon = Host.rfind(':');
  bool InBrackets = Host.find(']', Colon) != std::string_view::npos;
  return Colon == std::string_view::npos || InBrackets ? Host
                                                       : Host.substr(0, Colon);
}

} // namespace

const ServiceConfiguration *
ConfigurationSnapshot::serviceForHost(std::string_view Host) const {
  std::string_view Name = withoutPort(Host);
  for (const auto &[Service, Configuration] : Services_)
    if (std::ranges::count(Configuration.Document_->Hosts_, Name))
      return &Configuration;
  bool OnlyOne = Services_.size() == 1;
  return OnlyOne ? &Services_.begin()->second : nullptr;
}

const ServiceConfiguration *
ConfigurationSnapshot::service(const ServiceName &Name) const {
  auto Found = Services_.find(Name);
  return Found == Services_.end() ? nullptr : &Found->second;
}

const BackendServer *
ConfigurationSnapshot::activeServer(const ServiceName &Service,
                                    const PoolName &Pool,
                                    const ServerName &Server) const {
  const ServiceConfiguration *Configuration = service(Service);
  if (!Configuration)
    return nullptr;
  const auto *Servers = Configuration->Document_->pool(Pool);
  const BackendServer *Found = Servers ? Servers->find(Server) : nullptr;
  if (!Found || Found->Leaving_ || LeavingAddresses_.contains(Found->Address_))
    return nullptr;
  return Found;
}

DocumentStore::DocumentStore()
    : Current_(std::make_shared<ConfigurationSnapshot>()) {}

bool DocumentStore::adopt(const ServiceName &Service,
                          const VersionedDocument &Source) {
  std::unique_lock Lock(WriterMutex_);
  auto Old = Current_.read();
  const ServiceConfiguration *InForce = Old->service(Service);
  // Reads of the platform may be stale, a peer may be behind, and answers may
  // overtake each other: whatever the cause, an older version is no news.
  if (InForce && InForce->Version_ >= Source.Version_)
    return false;
  auto Read = readJsonDocument(Source.CanonicalJson_);
  auto Next = std::make_shared<ConfigurationSnapshot>(*Old);
  auto *Checked = std::get_if<CheckedDocument>(&Read);
  if (!Checked) {
    logEvent(LogCategory::Version, spdlog::level::err, "not-understood",
             {{"service", Service.str()},
              {"version", std::to_string(Source.Version_.count())}});
    if (!InForce)
      return false;
    Next->Services_[Service].NotUnderstood_ = Source.Version_;
    Current_.write(std::move(Next));
    return false;
  }
  ServiceConfiguration Adopted;
  Adopted.Version_ = Source.Version_;
  Adopted.Document_ = Checked->Document_;
  Adopted.Source_ = std::make_shared<VersionedDocument>(Source);
  Next->Services_[Service] = std::move(Adopted);
  Current_.write(std::move(Next));
  Lock.unlock();
  logEvent(LogCategory::Version, spdlog::level::info, "adopted",
           {{"service", Service.str()},
            {"version", std::to_string(Source.Version_.count())}});
  if (Changed_)
    Changed_(Service, Source.Version_);
  return true;
}

void DocumentStore::setLeavingAddresses(std::set<Endpoint> Addresses) {
  std::scoped_lock Lock(WriterMutex_);
  auto Old = Current_.read();
  if (Old->LeavingAddresses_ == Addresses)
    return;
  auto Next = std::make_shared<ConfigurationSnapshot>(*Old);
  Next->LeavingAddresses_ = std::move(Addresses);
  Current_.write(std::move(Next));
}

} // namespace samphireshunt
