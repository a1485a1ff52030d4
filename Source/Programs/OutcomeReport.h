#pragma once
/// \file
/// Statistics of the outcomes of all requests by kind, reason and time, read
/// from the lines that daemons log at the end of each request.
///
/// A daemon logs a bounded number of such lines per second. Each line contains
/// the number of lines of the same code that were dropped before it, and is
/// counted for those too. So the totals are exact, and the distribution by kind
/// is an estimate where lines were dropped. Memory is bounded: the numbers of
/// kinds and reasons are limited, and the time intervals are made longer when
/// there are too many.

#include <nlohmann/json.hpp>

#include <cstdint>
#include <istream>
#include <map>
#include <string>
#include <string_view>

namespace samphireshunt {

/// How a request ended for its caller.
enum class RequestFate {
  InTime,      ///< Answered within its route's objective and pauses.
  LateFirst,   ///< Its first event, or its answer, missed the objective.
  LatePause,   ///< A pause between two events was too long.
  LateAttempt, ///< Missed its objective as an earlier attempt was refused.
  Refused,     ///< Not run, and reported as such.
  Broken,      ///< Only a part of the answer was sent.
  Failed,      ///< It may have run; no answer was sent.
  CallerLeft,
};

/// \returns the name of \p Fate in reports, e.g. "in-time".
std::string_view fateName(RequestFate Fate);

class OutcomeReport {
public:
  /// Adds all lines of \p Logs that report the end of a request.
  void read(std::istream &Logs);

  std::uint64_t total() const { return Total_; }
  /// The number of requests in the total whose lines were dropped.
  std::uint64_t leftOut() const { return LeftOut_; }
  /// The number of lines that look like log lines but can't be parsed.
  std::uint64_t brokenLines() const { return BrokenLines_; }
  std::uint64_t count(RequestFate Fate) const;

  /// Formats the report as text tables, with a bar for each interval.
  std::string text() const;
  nlohmann::ordered_json json() const;

private:
  struct Cause {
    RequestFate Fate_;
    int Code_ = 0;
    // NOLINTNEXTLINE: the warning is about compiler-generated code.
    auto operator<=>(const Cause &) const = default;
  };
  using FateCounts = std::map<RequestFate, std::uint64_t>;

  void readLine(std::string_view Text);
  void readEnd(const nlohmann::ordered_json &Line);
  void countInInterval(double Seconds, RequestFate Fate,
                       std::uint64_t Requests);

  std::map<std::string, std::map<Cause, std::uint64_t>> ByKind_;
  std::map<std::uint64_t, FateCounts> ByInterval_;
  /// Length of an interval of ByInterval_.
  std::uint64_t IntervalSeconds_ = 1;
  std::uint64_t Total_ = 0;
  std::uint64_t LeftOut_ = 0;
  std::uint64_t BrokenLines_ = 0;
};

} // namespace samphireshunt
