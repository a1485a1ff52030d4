#pragma once
/// \file
/// How fast one engine is: what it takes for prompts, and between tokens.
/// Learned from what its requests were seen to take. Pure.
///
/// Load pattern: engines of one pool that differ threefold in speed. A first
/// token takes a fixed time plus a time for each prompt token that the engine
/// still has to read; taken for one product, the fixed part hides the
/// difference between a quick and a slow engine for short prompts, and long
/// prompts then go to engines that read them too late.

#include "Common/Ids.h"

#include <chrono>

namespace samphireshunt {

class EngineSpeed {
public:
  using Nanos = std::chrono::nanoseconds;

  /// A first token came \p Delay after its request was sent, while the engine
  /// had \p Unread prompt tokens to read, this request's own included.
  void firstToken(Tokens Unread, Nanos Delay);
  /// \p Count tokens after the first one came within \p Time.
  void stream(Tokens Count, Nanos Time);
  /// Takes over what engines of the same pool are like, until this one's own
  /// samples say more.
  void assume(const EngineSpeed &Typical);

  /// True once something was seen or assumed.
  bool known() const { return StreamTokens_ > 0; }
  /// Time until the first token, with \p Unread prompt tokens to read.
  Nanos untilFirstToken(Tokens Unread) const;
  /// Time for reading \p Unread prompt tokens.
  Nanos reading(Tokens Unread) const;
  /// The longest prompt that is read within \p Time.
  Tokens readable(Nanos Time) const;
  /// 0 while nothing is known.
  Nanos betweenTokens() const;

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
    void fade(double Kept);
  };
  void fit();
  double nanosPerToken() const;

  Line Line_;
  double FixedNanos_ = 0;
  double NanosPerToken_ = 0;
  /// Of streams: tokens after the first ones and the nanoseconds that they
  /// took; older ones weigh less.
  double StreamTokens_ = 0;
  double StreamNanos_ = 0;
  int Samples_ = 0;
};

} // namespace samphireshunt
