#pragma once
/// \file
/// A model engine for tests of the scheduler's decisions. It admits requests in
/// order of arrival, reads prompts one after the other, and generates a token
/// for each running request in every step. It advances in steps of a
/// millisecond and uses no sockets.

#include "Process/Scheduling/Scheduler.h"

#include <deque>
#include <optional>
#include <vector>

namespace samphireshunt::tests {

class FakeEngine {
public:
  struct Speed {
    double ReadPerMs_ = 23; ///< Prompt tokens read per millisecond.
    double StepMs_ = 8;     ///< Time for a token of each running request.
  };
  struct Work {
    RequestId Id_;
    double Unread_ = 0;
    double Tokens_ = 0; ///< Tokens still to generate.
    TimePoint Sent_;
  };
  struct Event {
    enum class Kind { FirstToken, Ended };
    Kind Kind_;
    RequestId Id_;
    TimePoint Sent_;
    TimePoint FirstToken_;
    /// The longest time between two events of the request.
    std::chrono::milliseconds LongestPause_{0};
  };
  /// Number of tokens in one event of an answer.
  static constexpr std::int64_t TokensPerEvent = 5;

  FakeEngine(Speed Speed, std::size_t Slots) : Speed_(Speed), Slots_(Slots) {}

  void enqueue(Work Added) { Queue_.push_back(Added); }
  std::size_t running() const { return Running_.size(); }

  /// Simulates a millisecond. \returns the events in it.
  std::vector<Event> step(TimePoint Now) {
    std::vector<Event> Events;
    while (Running_.size() < Slots_ && !Queue_.empty()) {
      Running_.push_back({Queue_.front(), std::nullopt});
      Queue_.pop_front();
    }
    double Budget = 1;
    for (Run &Current : Running_)
      if (Budget > 0 && Current.Work_.Unread_ > 0) {
        double Read =
            std::min(Current.Work_.Unread_, Budget * Speed_.ReadPerMs_);
        Current.Work_.Unread_ -= Read;
        Budget -= Read / Speed_.ReadPerMs_;
      }
    for (Run &Current : Running_)
      advance(Current, Budget, Now, Events);
    std::erase_if(Running_, [](const Run &Current) { return Current.Ended_; });
    return Events;
  }

private:
  /// Time until the first token besides reading the prompt.
  static constexpr double FirstTokenMs = 40;

  struct Run {
    Work Work_;
    std::optional<TimePoint> FirstToken_;
    TimePoint LastEvent_;
    std::chrono::milliseconds LongestPause_{0};
    double SinceEvent_ = 0; ///< Tokens since the last event.
    double SinceReadMs_ = 0;
    bool Ended_ = false;
  };

  /// Advances a request by \p Fraction of a millisecond, which is left after
  /// reading prompts.
  void advance(Run &Current, double Fraction, TimePoint Now,
               std::vector<Event> &Events) {
    if (Current.Work_.Unread_ > 0)
      return;
    if (!Current.FirstToken_) {
      Current.SinceReadMs_ += 1;
      if (Current.SinceReadMs_ < FirstTokenMs)
        return;
      Current.FirstToken_ = Current.LastEvent_ = Now;
      Events.push_back({Event::Kind::FirstToken, Current.Work_.Id_,
                        Current.Work_.Sent_, Now});
    }
    Current.Work_.Tokens_ -= Fraction / Speed_.StepMs_;
    Current.SinceEvent_ += Fraction / Speed_.StepMs_;
    if (Current.SinceEvent_ >= TokensPerEvent)
      noteEvent(Current, Now);
    if (Current.Work_.Tokens_ > 0)
      return;
    Current.Ended_ = true;
    Events.push_back({Event::Kind::Ended, Current.Work_.Id_,
                      Current.Work_.Sent_, *Current.FirstToken_,
                      Current.LongestPause_});
  }

  static void noteEvent(Run &Current, TimePoint Now) {
    auto Pause = std::chrono::duration_cast<std::chrono::milliseconds>(
        Now - Current.LastEvent_);
    Current.LongestPause_ = std::max(Current.LongestPause_, Pause);
    Current.LastEvent_ = Now;
    Current.SinceEvent_ = 0;
  }

  Speed Speed_;
  std::size_t Slots_;
  std::deque<Work> Queue_;
  std::vector<Run> Running_;
};

} // namespace samphireshunt::tests
