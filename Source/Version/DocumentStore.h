#pragma once
/// \file
/// The documents in force on this daemon, as immutable snapshots. A version
/// only ever goes up.

#include "Version/Document.h"
#include "Version/RcuCell.h"
#include "Version/VersionedDocument.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>

namespace samphireshunt {

/// One service in force. What the operator wrote is shared by all snapshots of
/// a version; the servers, which change far more often, stand apart from it.
struct ServiceConfiguration {
  DocumentVersion Version_;
  std::shared_ptr<const Document> Document_;
  /// The document's pools with the servers that are there now.
  std::vector<Pool> Pools_;
  std::shared_ptr<const VersionedDocument> Source_;
  /// The newest version that could not be adopted because its format is newer
  /// than this program; 0 when there is none.
  DocumentVersion NotUnderstood_;

  /// \returns null when the document has no such pool.
  const Pool *pool(const PoolName &Name) const;
};

/// All services in force at one instant, and the servers that are leaving.
struct ConfigurationSnapshot {
  std::map<ServiceName, ServiceConfiguration> Services_;
  /// Addresses that the platform's list of VMs names as leaving.
  std::set<Endpoint> LeavingAddresses_;

  /// The service of a Host header; the only service when no host is declared.
  const ServiceConfiguration *serviceForHost(std::string_view Host) const;
  const ServiceConfiguration *service(const ServiceName &Name) const;
  /// True unless the server is leaving: it may get new work now.
  bool isActive(const BackendServer &Server) const;
  /// The server, unless it is unknown or leaving.
  const BackendServer *activeServer(const ServiceName &Service,
                                    const PoolName &Pool,
                                    const ServerName &Server) const;
};

/// Backend servers that registered themselves, by the pool that they serve.
using ServersByPool = std::map<PoolName, std::vector<BackendServer>>;

class DocumentStore {
public:
  using ChangedHook = std::function<void(const ServiceName &, DocumentVersion)>;

  DocumentStore();
  /// Adopts \p Source when its version is higher than the one in force.
  /// \returns true when it is in force now because of this call.
  bool adopt(const ServiceName &Service, const VersionedDocument &Source);
  /// The same for a document that was read by another reader.
  bool adopt(const ServiceName &Service, DocumentVersion Version,
             std::shared_ptr<const Document> Read);
  /// Replaces the servers of the pools whose servers register themselves.
  void setServers(const ServiceName &Service, ServersByPool Servers);
  /// Replaces the list of leaving addresses.
  void setLeavingAddresses(std::set<Endpoint> Addresses);
  std::shared_ptr<const ConfigurationSnapshot> snapshot() const {
    return Current_.read();
  }
  /// Called after each adoption, on the adopting thread.
  void onChanged(ChangedHook Hook) { Changed_ = std::move(Hook); }

private:
  std::vector<Pool> poolsNow(const ServiceName &Service,
                             const Document &Adopted) const;
  void announce(const ServiceName &Service, DocumentVersion Version);

  std::mutex WriterMutex_;
  std::map<ServiceName, ServersByPool> Directories_;
  RcuCell<ConfigurationSnapshot> Current_;
  ChangedHook Changed_;
};

} // namespace samphireshunt
