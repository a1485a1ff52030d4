#pragma once
/// \file
/// How many requests a brittle server may be given that it might reject. The
/// code is free of I/O; the current time is passed in.
///
/// Load pattern: a server in need lets fewer requests wait, and ends when it
/// has to reject more than it names within a second. A rejected request frees
/// its slot at once, so the server looks idle. Until a request has been at the
/// server for a while, it may still be rejected: no more of these than the
/// server survives are granted, and none for a second after a rejection.

#include "Common/ResultCode.h"
#include "Common/TimePoint.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace samphireshunt {

/// Rejections per second that a server survives.
class RejectionCount {
public:
  constexpr RejectionCount() = default;
  constexpr explicit RejectionCount(std::uint32_t Count) : Count_(Count) {}
  constexpr std::uint32_t count() const { return Count_; }
  auto operator<=>(const RejectionCount &) const = default;

private:
  std::uint32_t Count_ = 0;
};

/// Parses a whole number. \returns BadServerNotice if \p Text is anything else.
Result<RejectionCount> parseRejectionCount(std::string_view Text);

class RejectionLimit {
public:
  /// The server says that it is brittle.
  void name(RejectionCount Survived, TimePoint Now);
  /// The server does not say so any more.
  void clear();
  const std::optional<RejectionCount> &named() const { return Named_; }
  /// \returns when the server last said that it is brittle.
  TimePoint namedAt() const { return NamedAt_; }

  /// Sets the current time, for a keeper that may use the fraction \p Share of
  /// what the server survives.
  void advance(TimePoint Now, double Share);
  bool allowsOne() const;
  /// Counts a request that is granted.
  void take();
  /// The server has rejected a request.
  void rejected(TimePoint Now);

private:
  std::optional<RejectionCount> Named_;
  TimePoint NamedAt_;
  TimePoint Now_;
  TimePoint PausedUntil_;
  std::size_t Allowed_ = 1;
  /// When the requests were granted that may still be rejected.
  std::vector<TimePoint> Recent_;
};

} // namespace samphireshunt
