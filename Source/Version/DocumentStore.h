#pragma once
/// \file
/// The active documents of this daemon, as immutable snapshots. The version of
/// a service's document never decreases.

#include "Version/Document.h"
#include "Version/RcuCell.h"
#include "Version/VersionedDocument.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>

namespace samphireshunt {

/// The active configuration of one service. The operator's document is shared
/// by all snapshots of a version; the servers, which change far more often, are
/// stored separately.
struct ServiceConfiguration {
  DocumentVersion Version_;
  std::shared_ptr<const Document> Document_;
  /// The document's pools with their current servers.
  std::vector<Pool> Pools_;
  std::shared_ptr<const VersionedDocument> Source_;
  /// The newest version that could not be adopted because this program can't
  /// read it, e.g. because its format is newer; 0 if there is none.
  DocumentVersion UnsupportedVersion_;

  /// \returns null if the document has no such pool.
  const Pool *pool(const PoolName &Name) const;
};

/// All active services at one point in time, and the leaving servers.
struct ConfigurationSnapshot {
  std::map<ServiceName, ServiceConfiguration> Services_;
  /// Addresses that the platform's list of VMs marks as leaving.
  std::set<Endpoint> LeavingAddresses_;

  /// \returns the service that declares the host of a Host header. If none
  /// does, \returns the only service, or null if there are several or none.
  const ServiceConfiguration *serviceForHost(std::string_view Host) const;
  const ServiceConfiguration *service(const ServiceName &Name) const;
  /// \returns true if the server may get new requests, i.e. isn't leaving.
  bool isActive(const BackendServer &Server) const;
  /// \returns the server, or null if it is unknown or leaving.
  const BackendServer *activeServer(const ServiceName &Service,
                                    const PoolName &Pool,
                                    const ServerName &Server) const;
};

/// Backend servers that registered themselves, by their pool.
using ServersByPool = std::map<PoolName, std::vector<BackendServer>>;

/// Holds the active configuration. Writers are serialized by a mutex; readers
/// never block.
class DocumentStore {
public:
  using ChangedHook = std::function<void(const ServiceName &, DocumentVersion)>;

  DocumentStore();
  /// Activates \p Source if its version is higher than the active one. \returns
  /// true if this call activated it.
  bool adopt(const ServiceName &Service, const VersionedDocument &Source);
  /// The same for a document that another reader has parsed.
  bool adopt(const ServiceName &Service, DocumentVersion Version,
             std::shared_ptr<const Document> Read);
  /// Replaces the servers of all pools whose servers register themselves.
  void setServers(const ServiceName &Service, ServersByPool Servers);
  /// Replaces the list of leaving addresses.
  void setLeavingAddresses(std::set<Endpoint> Addresses);
  std::shared_ptr<const ConfigurationSnapshot> snapshot() const {
    return Current_.read();
  }
  /// Sets a hook that is called after each adoption and each setServers() of an
  /// active service, on the thread that made the change. It isn't called for
  /// setLeavingAddresses().
  void onChanged(ChangedHook Hook) { Changed_ = std::move(Hook); }

private:
  std::vector<Pool> poolsWithServers(const ServiceName &Service,
                                     const Document &Adopted) const;
  void notifyChanged(const ServiceName &Service, DocumentVersion Version);

  std::mutex WriterMutex_;
  std::map<ServiceName, ServersByPool> Directories_;
  RcuCell<ConfigurationSnapshot> Current_;
  ChangedHook Changed_;
};

} // namespace samphireshunt
