#pragma once
/// \file
/// The commands of samphireshuntctl.

#include "Process/Configuration/Platform.h"
#include "Version/DocumentReader.h"
#include "Version/VersionedDocument.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <string>
#include <vector>

namespace samphireshunt {

/// Exit statuses of the commands; the table is in docs/OPERATIONS.md.
enum class ExitStatus : int {
  Ok = 0,
  Invalid = 1,
  Usage = 2,
  Conflict = 3,
  Unavailable = 4,
  NotEverywhere = 5,
  NotFound = 6,
  FormatTooNew = 7,
};

struct CtlOptions {
  PlatformHooks Platform_;
  bool Json_ = false;
  bool Wait_ = false;
  std::chrono::milliseconds WaitTimeout_{30000};
  /// The version that the operator read; negative if not given.
  std::int64_t ExpectedVersion_ = -1;
  /// Writes over a stored document that can't be read.
  bool ReplaceUnreadable_ = false;
  /// Identifies this change; no two changes have the same id.
  std::string ChangeId_;
};

class CtlCommands {
public:
  explicit CtlCommands(CtlOptions Settings) : Options_(std::move(Settings)) {}

  ExitStatus validate(const std::string &Path);
  ExitStatus explain(const std::string &Code);
  Awaitable<ExitStatus> diff(std::string Path);
  Awaitable<ExitStatus> apply(std::string Path);
  Awaitable<ExitStatus> get(std::string Service);
  Awaitable<ExitStatus> history(std::string Service);
  Awaitable<ExitStatus> rollback(std::string Service, std::string Version);
  Awaitable<ExitStatus> status();

private:
  struct DaemonState {
    VmId Vm_;
    bool Reached_ = false;
    /// Empty unless the daemon was reached.
    nlohmann::json Status_ = nlohmann::json::object();
  };

  void print(const nlohmann::json &Body, const std::string &Text) const;
  ExitStatus fail(ExitStatus Status, const Failure &Cause) const;
  std::optional<CheckedDocument> readChecked(const std::string &Path) const;
  Awaitable<Result<std::optional<KeyValue>>> current(ServiceName Service);
  Awaitable<ExitStatus> put(ServiceName Service, std::string CanonicalJson,
                            std::int64_t ExpectedVersion,
                            std::vector<DaemonState> States);
  Awaitable<Result<DocumentVersion>>
  newestKnown(ServiceName Service, std::vector<DaemonState> States);
  static DocumentVersion newestActive(const ServiceName &Service,
                                      const std::vector<DaemonState> &States);
  static std::optional<Failure>
  tooLargeFor(const std::vector<DaemonState> &States,
              const VersionedDocument &Next);
  Awaitable<DocumentVersion> newestWithChange(ServiceName Service);
  Awaitable<Result<DocumentVersion>>
  putOnce(ServiceName Service, VersionedDocument Next, StorePosition Expected);
  Awaitable<void> writeHistory(ServiceName Service, VersionedDocument Accepted);
  Awaitable<ExitStatus> awaitActiveEverywhere(ServiceName Service,
                                              DocumentVersion Version);
  Awaitable<std::vector<DaemonState>> queryDaemons();
  std::optional<ExitStatus>
  refuseTooNewFormat(const std::vector<DaemonState> &States,
                     const std::string &CanonicalJson) const;

  CtlOptions Options_;
};

} // namespace samphireshunt
