#pragma once
/// \file
/// A document with its version, as it is stored under one key of the platform's
/// key-value service and sent between daemons.

#include "Common/Ids.h"
#include "Common/ResultCode.h"

#include <string>
#include <vector>

namespace samphireshunt {

/// Number of ids of past changes that a value contains. A writer whose answer
/// was lost finds its id there, unless more changes than this followed.
inline constexpr std::size_t MaxChangeIds = 64;

struct VersionedDocument {
  DocumentVersion Version_;
  /// Ids of the last changes, newest last.
  std::vector<std::string> ChangeIds_;
  std::string CanonicalJson_;

  /// \returns the value for the key-value service.
  std::string encode() const;
  /// Parses the result of encode(). Fails with DocumentSyntax if \p Text is
  /// malformed, with DocumentSchema if it is nested too deeply.
  static Result<VersionedDocument> decode(const std::string &Text);
  /// \returns the next version, created by the change \p ChangeId.
  VersionedDocument next(std::string ChangeId, std::string CanonicalJson) const;
};

/// \returns the key of a service's current document.
std::string documentKey(const ServiceName &Service);
/// \returns the key of one past version.
std::string historyKey(const ServiceName &Service, DocumentVersion Version);
inline constexpr const char *DocumentKeyPrefix = "config/";

} // namespace samphireshunt
