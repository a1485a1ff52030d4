#pragma once
/// \file
/// The timeline of one request from the logs of several daemons, with the state
/// changes that these daemons logged shortly before.

#include <istream>
#include <string>
#include <vector>

namespace samphireshunt {

/// One line of a daemon's log.
struct LogLine {
  std::string Time_;
  std::string Vm_;
  std::string Event_;
  /// All other fields as "name=value", in their order in the line.
  std::string Fields_;
  bool OfRequest_ = false;
};

struct RequestTimeline {
  std::vector<LogLine> Lines_;
  bool Found_ = false;

  /// Formats the timeline as text, one line per log line.
  std::string text() const;
};

/// Reads JSON log lines, which may be preceded by other text; other lines are
/// skipped. \p Id is the id of a request or the caller's own id for it. Lines
/// about state changes of the daemons involved are included from \p
/// ContextSeconds before the request's first line until its last line.
RequestTimeline readTimeline(std::istream &Logs, const std::string &Id,
                             double ContextSeconds);

} // namespace samphireshunt
