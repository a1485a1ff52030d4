#pragma once
/// \file
/// A document with its version, as it stands under one key of the platform's
/// key-value service and as daemons pass it on to one another.

#include "Common/Ids.h"
#include "Common/ResultCode.h"

#include <string>
#include <vector>

namespace samphireshunt {

/// How many ids of past changes a value keeps. A writer whose answer was lost
/// finds its id there unless more changes than this came in between.
inline constexpr std::size_t KeptChangeIds = 64;

struct VersionedDocument {
  DocumentVersion Version_;
  /// Ids of the last changes, newest last.
  std::vector<std::string> ChangeIds_;
  std::string CanonicalJson_;

  /// The value of the key.
  std::string encode() const;
  /// \returns DocumentSyntax when \p Text is no such value.
  static Result<VersionedDocument> decode(const std::string &Text);
  /// The next version, made by the change \p ChangeId.
  VersionedDocument next(std::string ChangeId, std::string CanonicalJson) const;
};

/// The key that holds a service's document.
std::string documentKey(const ServiceName &Service);
/// The key that holds one past version.
std::string historyKey(const ServiceName &Service, DocumentVersion Version);
inline constexpr const char *DocumentKeyPrefix = "config/";

} // namespace samphireshunt
