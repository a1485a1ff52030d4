#pragma once
/// \file
/// Speed of one engine, learned from its requests: the time for reading prompts
/// and the time between tokens. The code is free of I/O.
///
/// Load pattern: engines of one pool that differ threefold in speed. A first
/// token takes a fixed time plus a time for each prompt token that the engine
/// still has to read. If both were modeled as a single time per token, the
/// fixed time would hide the difference between a fast and a slow engine for
/// short prompts, and long prompts would go to engines that read them too late.

#include "Common/Ids.h"

#include <chrono>

namespace samphireshunt {

class EngineSpeed {
public:
  using Nanos = std::chrono::nanoseconds;

  /// Records that a first token came \p Delay after its request was sent, while
  /// the engine had \p Unread prompt tokens to read, including those of this
  /// request.
  void firstToken(Tokens Unread, Nanos Delay);
  /// Records that \p Count tokens after the first one came within \p Time.
  void stream(Tokens Count, Nanos Time);
  /// Assumes the speed \p Typical of the same pool until this engine's own
  /// samples outweigh it.
  void assume(const EngineSpeed &Typical);

  /// True once a speed was measured or assumed.
  bool known() const { return StreamTokens_ > 0; }
  /// Expected time until the first token, with \p Unread prompt tokens to read.
  Nanos timeToFirstToken(Tokens Unread) const;
  /// Expected time for reading \p Unread prompt tokens.
  Nanos readingTime(Tokens Unread) const;
  /// The longest prompt that the engine reads within \p Time.
  Tokens longestPromptWithin(Nanos Time) const;
  /// Expected time between tokens; 0 while unknown.
  Nanos timeBetweenTokens() const;

private:
  /// Sums for a least-squares line through (unread tokens, delay); older
  /// samples weigh less.
  struct Line {
    double Weight_ = 0;
    double X_ = 0;
    double Y_ = 0;
    double XX_ = 0;
    double XY_ = 0;

    void add(double X, double Y, double Weight);
    void fade(double Factor);
  };
  void fit();
  double nanosPerToken() const;

  Line Line_;
  double FixedNanos_ = 0;
  double NanosPerToken_ = 0;
  /// Streamed tokens after the first ones, and the nanoseconds that they took;
  /// older ones weigh less.
  double StreamTokens_ = 0;
  double StreamNanos_ = 0;
  int Samples_ = 0;
};

} // namespace samphireshunt
