#pragma once
/// \file
/// Compares callers' logs with engines' ledgers and finds answers that were
/// lost, duplicated, truncated or belong to another request, and runs that must
/// not have happened.

#include "Caller.h"

#include <string>
#include <vector>

namespace samphireshunt::standins {

/// One line of an engine's ledger.
struct LedgerLine {
  std::string Event_;
  std::string Engine_;
  std::string Request_;
  std::string Nonce_;
  std::string IdempotencyKey_;
};

struct CheckOptions {
  /// Daemons were killed during the run, so callers may have lost their
  /// connection before the final answer.
  bool DaemonsKilled_ = false;
};

/// \returns a line of text for each violation; none when the run was correct.
std::vector<std::string> findViolations(const std::vector<CallRecord> &Calls,
                                        const std::vector<LedgerLine> &Ledger,
                                        CheckOptions Options);

/// Reads a log that callers wrote. Lines that are no JSON object are skipped.
std::vector<CallRecord> readCallerLog(const std::string &Path);
/// Reads an engine's ledger. Lines that are no JSON object are skipped.
std::vector<LedgerLine> readLedger(const std::string &Path);

} // namespace samphireshunt::standins
