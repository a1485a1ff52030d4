#pragma once
/// \file
/// One service's document as typed values. Immutable once read.

#include "Common/Ids.h"
#include "Connection/Http.h"

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace samphireshunt {

/// The newest format of documents that this program understands.
inline constexpr int NewestFormat = 1;

struct Customer {
  CustomerName Name_;
  std::vector<std::string> KeyDigests_; ///< SHA-256, hexadecimal.
  TierIndex DefaultTier_;
  std::vector<TierIndex> AllowedTiers_;
  std::uint32_t Weight_ = 1;      ///< Share within a tier.
  std::uint32_t MaxInFlight_ = 0; ///< Ceiling per cell; 0 is none.
};

enum class PoolKind { Model, Application };

struct BackendServer {
  ServerName Name_;
  Endpoint Address_;
  DataCenterName DataCenter_;
  bool Leaving_ = false;
  std::uint32_t MaxInFlight_ = 8;
  bool ChecksFencing_ = false;
  bool RefusesBeforeRunning_ = false;
};

struct Pool {
  PoolName Name_;
  PoolKind Kind_ = PoolKind::Model;
  std::vector<std::string> Models_;
  std::size_t MaxWaiting_ = 1000;
  std::vector<BackendServer> Servers_;

  const BackendServer *find(const ServerName &Name) const;
};

struct Route {
  std::string PathPrefix_;
  PoolName Pool_;
  std::vector<std::string> Methods_; ///< Empty: all.
  bool NonIdempotent_ = false;
};

struct ServiceLimits {
  std::chrono::milliseconds DefaultTimeout_{30000};
  std::chrono::milliseconds MaxTimeout_{600000};
  std::size_t MaxBodyBytes_ = 4 * 1024 * 1024;
};

struct Document {
  ServiceName Service_;
  std::vector<std::string> Hosts_;
  std::string LogLevel_ = "info";
  std::vector<std::string> Tiers_; ///< Highest first.
  std::vector<Customer> Customers_;
  std::vector<Pool> Pools_;
  std::vector<Route> Routes_;
  ServiceLimits Limits_;

  /// \returns null when no customer has the key with this digest.
  const Customer *customerByKeyDigest(const std::string &Digest) const;
  const Pool *pool(const PoolName &Name) const;
  /// The route with the longest prefix that matches \p Path.
  const Route *route(std::string_view Path) const;
  std::optional<TierIndex> tier(std::string_view Name) const;

  /// Fills the look-up tables; called once by the reader.
  void buildIndex();

private:
  std::unordered_map<std::string, std::size_t> CustomerByDigest_;
};

} // namespace samphireshunt
