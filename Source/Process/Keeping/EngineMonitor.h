#pragma once
/// \file
/// Polls the engines of the cells scheduled here for their load and cache
/// events, and cancels the requests of dead daemons. Runs on the control
/// thread.

#include "Process/Keeping/KeeperService.h"

#include <boost/asio/io_context.hpp>

#include <set>

namespace samphireshunt {

class EngineMonitor {
public:
  struct Options {
    std::chrono::milliseconds Period_{500};
    std::chrono::milliseconds Timeout_{400};
    /// Consecutive unanswered polls after which an engine gets no new work.
    int FailuresToUnhealthy_ = 2;
    std::chrono::milliseconds OrphanRetry_{1000};
    int MaxOrphanAttempts_ = 60;
  };

  EngineMonitor(boost::asio::io_context &Control, DocumentStore &Documents,
                KeeperService &Keeper, Options Settings);
  void start();
  void stop() { Stopped_ = true; }
  /// Cancels the request at its engine, unless it is non-idempotent or the
  /// engine reports that its ingress daemon is still connected.
  void handleOrphan(const OrphanedRequest &Orphan);

private:
  struct PolledEngine {
    int Failures_ = 0;
    bool Busy_ = false;
    /// Reading the events may take longer than a period.
    bool ReadsEvents_ = false;
    std::uint64_t NextEvent_ = 0;
  };
  using ServerKey = std::pair<CellId, ServerName>;

  Awaitable<void> run();
  Awaitable<void> poll(ServerKey Key, Endpoint Address);
  /// Reads the events up to \p Newest, as the engine reports it.
  Awaitable<void> readEvents(ServerKey Key, Endpoint Address,
                             std::uint64_t Newest);
  Awaitable<void> cancelOrphan(Endpoint Address, RequestId Id);

  boost::asio::io_context &Control_;
  DocumentStore &Documents_;
  KeeperService &Keeper_;
  Options Options_;
  std::map<ServerKey, PolledEngine> PolledEngines_;
  bool Stopped_ = false;
};

} // namespace samphireshunt
