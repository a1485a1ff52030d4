#pragma once
/// \file
/// What the logs of several daemons tell of one request, in order, with what
/// its daemons came to believe shortly before.

#include <istream>
#include <string>
#include <vector>

namespace samphireshunt {

/// One line of a daemon's log.
struct LogLine {
  std::string Time_;
  std::string Vm_;
  std::string Event_;
  /// All further fields as "name=value", in their order.
  std::string Fields_;
  bool OfRequest_ = false;
};

struct RequestStory {
  std::vector<LogLine> Lines_;
  bool Found_ = false;

  /// One line each, for people.
  std::string text() const;
};

/// Reads JSON lines, also with something before the JSON; others are passed
/// over. \p Id is a request's id or the caller's own for it. Beliefs are taken
/// from \p BeliefSeconds before the request's first line to its last.
RequestStory readStory(std::istream &Logs, const std::string &Id,
                       double BeliefSeconds);

} // namespace samphireshunt
