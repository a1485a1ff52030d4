/// \file
/// Compares callers' logs with engines' ledgers and prints the violations. The
/// exit status is 1 when there is a violation or no call was logged.

#include "Checker.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/strings/str_split.h>
#include <fmt/format.h>

#include <algorithm>
#include <iterator>

ABSL_FLAG(std::string, calls, "", "Callers' logs, separated by commas.");
ABSL_FLAG(std::string, ledgers, "", "Ledgers, separated by commas.");
ABSL_FLAG(bool, daemons_killed, false,
          "Daemons were killed, so callers may have lost their connection.");

namespace {

std::vector<std::string> paths(const std::string &List) {
  return absl::StrSplit(List, ',', absl::SkipEmpty());
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  using namespace samphireshunt::standins;
  absl::ParseCommandLine(ArgumentCount, Arguments);
  std::vector<CallRecord> Calls;
  for (const std::string &Path : paths(absl::GetFlag(FLAGS_calls)))
    std::ranges::move(readCallerLog(Path), std::back_inserter(Calls));
  std::vector<LedgerLine> Ledger;
  for (const std::string &Path : paths(absl::GetFlag(FLAGS_ledgers)))
    std::ranges::move(readLedger(Path), std::back_inserter(Ledger));
  CheckOptions Options;
  Options.DaemonsKilled_ = absl::GetFlag(FLAGS_daemons_killed);
  auto Findings = findViolations(Calls, Ledger, Options);
  for (const std::string &Finding : Findings)
    fmt::print("VIOLATION {}\n", Finding);
  fmt::print("{} calls, {} ledger lines, {} violations\n", Calls.size(),
             Ledger.size(), Findings.size());
  return Findings.empty() && !Calls.empty() ? 0 : 1;
}
