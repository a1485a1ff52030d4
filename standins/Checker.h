#pragma once
/// \file
/// Compares callers' logs with engines' ledgers and finds every answer lost,
/// doubled, crossed or truncated, and every run that must not have been.

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
  /// Daemons were killed: callers may have lost the connection, and with it
  /// the final answer.
  bool DaemonsKilled_ = false;
};

/// \returns a line for each violation.
std::vector<std::string> check(const std::vector<CallRecord> &Calls,
                               const std::vector<LedgerLine> &Ledger,
                               CheckOptions Allowed);

std::vector<CallRecord> readCallerLog(const std::string &Path);
std::vector<LedgerLine> readLedger(const std::string &Path);

} // namespace samphireshunt::standins
