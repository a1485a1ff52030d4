#pragma once
/// \file
/// One service's document as typed values. Immutable once read.

#include "Common/Ids.h"
#include "Connection/Http.h"

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace samphireshunt {

/// The newest format of documents that this program understands.
inline constexpr int NewestFormat = 1;

/// How much a customer may ask for, over all daemons together.
struct Allotment {
  double PerSecond_ = 0;      ///< Requests or tokens; 0 is no limit.
  double Burst_ = 0;          ///< What may come at once on top of the rate.
  bool CountsTokens_ = false; ///< Tokens are counted rather than requests.
  Tokens TokensOfOther_{0};   ///< What a request without tokens counts.
  bool operator==(const Allotment &) const = default;
};

struct Customer {
  CustomerName Name_;
  std::vector<std::string> KeyDigests_; ///< SHA-256, hexadecimal.
  TierIndex DefaultTier_;
  std::vector<TierIndex> AllowedTiers_;
  std::uint32_t Weight_ = 1;      ///< Share within a tier.
  std::uint32_t MaxInFlight_ = 0; ///< Ceiling per cell; 0 is none.
  Allotment Allotment_;
};

enum class PoolKind { Model, Application };

struct BackendServer {
  ServerName Name_;
  Endpoint Address_;
  DataCenterName DataCenter_;
  /// A server may start again under its name; then it has none of what it had.
  Incarnation Incarnation_;
  bool Leaving_ = false;
  std::uint32_t MaxInFlight_ = 8;
  bool ChecksFencing_ = false;
  bool RefusesBeforeRunning_ = false;
};

/// A pool with its servers: in a document those that it lists, in a snapshot
/// all that are there.
struct Pool {
  PoolName Name_;
  PoolKind Kind_ = PoolKind::Model;
  std::vector<std::string> Models_;
  std::size_t MaxWaiting_ = 1000;
  std::vector<BackendServer> Servers_;
  /// The servers are not listed here: they register with the platform.
  bool FromDirectory_ = false;
  /// Tokens that a server's cache holds; 0 is unknown.
  Tokens CacheTokens_{0};
  /// Tokens in one event of a stream.
  std::int64_t TokensPerEvent_ = 1;

  const BackendServer *find(const ServerName &Name) const;
};

/// What may be repeated of a request.
enum class RequestKind {
  Idempotent,
  NonIdempotent,
  Stream, ///< Answered by server-sent events; repeated only if resumable.
};

/// One of the pools that a route's requests are split over.
struct WeightedPool {
  PoolName Pool_;
  std::uint32_t Weight_ = 1;
};

/// How a route forwards requests and their answers unchanged.
struct ForwardingRule {
  RequestKind Kind_ = RequestKind::NonIdempotent;
  /// A broken stream may go on at another server.
  bool Resumable_ = false;
  /// Servers that may run one request, one after the other.
  std::uint32_t MaxAttempts_ = 1;
  /// The longest that a request may stay unanswered.
  std::chrono::milliseconds Timeout_{30000};
  /// Within this an answer, or the first event of one, is worth most.
  std::chrono::milliseconds Objective_{30000};
  /// The longest pause between events of an answer in time; 0 is any.
  std::chrono::milliseconds MaxEventGap_{0};
  TierIndex Tier_;
  /// Requests carry no key.
  bool Anonymous_ = false;
  std::vector<WeightedPool> Targets_;

  /// True when a request that may have run may be sent again.
  bool repeatable() const {
    return Kind_ == RequestKind::Idempotent || Resumable_;
  }
};

struct Route {
  std::string Name_;
  /// Only for requests with this host; empty: for all.
  std::string Host_;
  std::string PathPrefix_;
  PoolName Pool_;
  std::vector<std::string> Methods_; ///< Empty: all.
  bool NonIdempotent_ = false;
  /// Set where requests go to backend servers as they are.
  std::optional<ForwardingRule> Forwarding_;
};

struct ServiceLimits {
  std::chrono::milliseconds DefaultTimeout_{30000};
  std::chrono::milliseconds MaxTimeout_{600000};
  std::size_t MaxBodyBytes_ = 4 * 1024 * 1024;
  std::size_t MaxHeaderBytes_ = 16 * 1024;
  /// How long a caller may take for a request, and leave a connection idle;
  /// 0 leaves it to the daemon's settings.
  std::chrono::milliseconds HeaderTimeout_{0};
  std::chrono::milliseconds IdleTimeout_{0};
};

/// What the operator wrote of one service. Servers that register themselves
/// are not here: ServiceConfiguration has them.
struct Document {
  ServiceName Service_;
  std::vector<std::string> Hosts_;
  std::string LogLevel_ = "info";
  std::vector<std::string> Tiers_; ///< Highest first.
  std::vector<Customer> Customers_;
  std::vector<Pool> Pools_;
  /// In the operator's order. A route that a version leaves as it was is the
  /// same object as before.
  std::vector<std::shared_ptr<const Route>> Routes_;
  ServiceLimits Limits_;

  /// \returns null when no customer has the key with this digest.
  const Customer *customerByKeyDigest(const std::string &Digest) const;
  const Customer *customer(const CustomerName &Name) const;
  /// The route with the longest prefix that matches \p Path, of those for
  /// \p Host.
  const Route *route(std::string_view Path, std::string_view Host = {}) const;
  std::optional<TierIndex> tier(std::string_view Name) const;

  /// Fills the look-up tables; called once by the reader.
  void buildIndex();

private:
  /// The place of the first route with a prefix, by the prefix. Keys are texts
  /// of routes, which Routes_ keeps.
  using RoutesByPrefix = std::unordered_map<std::string_view, std::size_t>;

  const Route *routeWithPrefix(const RoutesByPrefix *OfHost,
                               const RoutesByPrefix *OfAnyHost,
                               std::string_view Prefix) const;
  const RoutesByPrefix *routesOf(std::string_view Host) const;

  std::unordered_map<std::string, std::size_t> CustomerByDigest_;
  /// By host; those for all hosts are under the empty one. A look at each of
  /// 4,200 routes took every request 33 us, by name it takes 0.04 us.
  std::unordered_map<std::string_view, RoutesByPrefix> RoutesByHost_;
  std::size_t LongestPrefix_ = 0;
};

/// The host of a Host field.
std::string_view withoutPort(std::string_view Host);

} // namespace samphireshunt
