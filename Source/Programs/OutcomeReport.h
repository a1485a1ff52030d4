#pragma once
/// \file
/// What became of all requests, by kind, reason and moment, from the lines that
/// daemons log at each request's end.
///
/// A daemon writes a bounded number of such lines a second; each line tells how
/// many of its code were left out before it, and stands for these too. So the
/// counts add up to all requests, and their split by kind is an estimate where
/// lines were left out. Memory is bounded: by the number of kinds and reasons,
/// and moments are made coarser when they grow many.

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
  LateFirst,   ///< Its first event, or its answer, came late.
  LatePause,   ///< A pause between two events was too long.
  LateAttempt, ///< Late since an earlier attempt had been refused.
  Refused,     ///< Not run, and told so.
  Broken,      ///< Part of an answer came.
  Failed,      ///< It may have run; no answer came.
  CallerLeft,
};

/// E.g. "in-time".
std::string_view fateName(RequestFate Fate);

class OutcomeReport {
public:
  /// Takes in all lines of \p Logs that tell of a request's end.
  void read(std::istream &Logs);

  std::uint64_t total() const { return Total_; }
  /// Requests whose lines were left out, of the total.
  std::uint64_t leftOut() const { return LeftOut_; }
  /// Lines that look like a log line and can't be read.
  std::uint64_t brokenLines() const { return BrokenLines_; }
  std::uint64_t count(RequestFate Fate) const;

  /// Tables for people, with a bar for each moment.
  std::string text() const;
  nlohmann::ordered_json json() const;

private:
  struct Cause {
    RequestFate Fate_;
    int Code_ = 0;
    // NOLINTNEXTLINE: blames the code that the compiler writes here.
    auto operator<=>(const Cause &) const = default;
  };
  using FateCounts = std::map<RequestFate, std::uint64_t>;

  void readLine(std::string_view Text);
  void readEnd(const nlohmann::ordered_json &Line);
  void countMoment(double Seconds, RequestFate Fate, std::uint64_t Requests);

  std::map<std::string, std::map<Cause, std::uint64_t>> ByKind_;
  std::map<std::uint64_t, FateCounts> ByMoment_;
  /// Length of a moment.
  std::uint64_t MomentSeconds_ = 1;
  std::uint64_t Total_ = 0;
  std::uint64_t LeftOut_ = 0;
  std::uint64_t BrokenLines_ = 0;
};

} // namespace samphireshunt
