#pragma once
/// \file
/// The memory of a run at a model engine: what the engines of a pool can do
/// with it, and the orders that stop a run there and free what it left.

#include "Common/Ids.h"
#include "Common/ResultCode.h"
#include "Connection/Http.h"

#include <cstddef>
#include <functional>
#include <string>

namespace samphireshunt {

/// Where the memory of a run is, as an engine expects it of the request that
/// goes on with it.
struct MemoryLocation {
  ServerName Server_;
  /// The address of the engine that named the handle, and the handle.
  std::string Handle_;
  bool operator==(const MemoryLocation &) const = default;
};

/// Asks the engine that runs a request to copy the memory of the run.
struct MoveOrder {
  /// The call id of the request.
  std::string CallId_;
  /// The engine that gets the copy.
  Endpoint To_;
  /// The run stops first; its stream is closed without its end.
  bool Stop_ = false;
};

enum class MoveResult {
  Copied,    ///< The other engine has the memory.
  NotCopied, ///< It has not; a run that was stopped left it where it ran.
  NoSuchRun, ///< No such request runs there: it has ended.
  Busy,      ///< Another order for the run is in progress.
};

struct MoveAnswer {
  MoveResult Result_ = MoveResult::NoSuchRun;
  /// Empty if the engine names none.
  std::string Handle_;
  /// Events that the run has generated so far.
  std::size_t Events_ = 0;
};

/// Hooks that translate the orders into HTTP calls to an engine.
struct RunMemoryCalls {
  std::function<HttpRequest(const MoveOrder &)> WriteMove_;
  /// \returns BadMemoryAnswer for an answer that can't be read.
  std::function<Result<MoveAnswer>(const HttpResponse &)> ReadMove_;
  /// Frees the memory under a handle, at both engines where it was copied.
  std::function<HttpRequest(const std::string &Handle)> WriteRelease_;
};

} // namespace samphireshunt
