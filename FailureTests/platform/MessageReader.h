#pragma once
/// \file
/// A reading of whole messages by the standard, apart from the daemon's. No
/// input or output.

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace samphireshunt::tests {

struct ReadMessage {
  std::string StartLine_;
  std::string Fields_; ///< Lines with names in lower case.
  std::string Content_;

  /// \returns the values of all lines of \p Name, in lower case.
  std::vector<std::string> valuesOf(std::string_view Name) const;
  /// \returns the status of an answer; 0 if there is none.
  int status() const;
};

/// Takes the first message from the front of \p Bytes. \p HasContent is false
/// for answers to HEAD; \p Ended tells that no more bytes come. \returns
/// nothing if the message is not whole.
std::optional<ReadMessage> takeMessage(std::string &Bytes, bool HasContent,
                                       bool Ended);

} // namespace samphireshunt::tests
