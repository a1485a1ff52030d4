#pragma once
/// \file
/// A model engine as the scheduler's decisions meet it: it admits in order of
/// arrival, reads prompts one after the other, and gives a token to each
/// running request in every step. Steps of a millisecond; no sockets.

#include "Process/Scheduling/Scheduler.h"

#include <deque>
#include <optional>
#include <vector>

namespace samphireshunt::tests {

class FakeEngine {
public:
  struct Speed {
    double ReadPerMs_ = 23; ///< Prompt tokens.
    double StepMs_ = 8;     ///< For a token of each running request.
  };
  struct Work {
    RequestId Id_;
    double Unread_ = 0;
    double Tokens_ = 0; ///< That it will generate.
    TimePoint Sent_;
  };
  struct Event {
    enum class Kind { FirstToken, Ended };
    Kind Kind_;
    RequestId Id_;
    TimePoint Sent_;
    TimePoint FirstToken_;
    /// The longest time between two of its events.
    std::chrono::milliseconds LongestPause_{0};
  };
  /// Tokens in one event of an answer.
  static constexpr std::int64_t TokensPerEvent = 5;

  FakeEngine(Speed Speed, std::size_t Places)
      : Speed_(Speed), Places_(Places) {}

  void take(Work Taken) { Queue_.push_back(Taken); }
  std::size_t running() const { return Running_.size(); }

  /// Works for a millisecond. \returns what happened in it.
  std::vector<Event> step(TimePoint Now) {
    std::vector<Event> Events;
    while (Running_.size() < Places_ && !Queue_.empty()) {
      Running_.push_back({Queue_.front(), std::nullopt});
      Queue_.pop_front();
    }
    double Budget = 1;
    for (Run &Each : Running_)
      if (Budget > 0 && Each.Work_.Unread_ > 0) {
        double Read = std::min(Each.Work_.Unread_, Budget * Speed_.ReadPerMs_);
        Each.Work_.Unread_ -= Read;
        Budget -= Read / Speed_.ReadPerMs_;
      }
    for (Run &Each : Running_)
      advance(Each, Budget, Now, Events);
    std::erase_if(Running_, [](const Run &Each) { return Each.Ended_; });
    return Events;
  }

private:
  /// What a first token takes besides the reading of its prompt.
  static constexpr double FirstTokenMs = 40;

  struct Run {
    Work Work_;
    std::optional<TimePoint> FirstToken_;
    TimePoint LastEvent_;
    std::chrono::milliseconds LongestPause_{0};
    double SinceEvent_ = 0; ///< Tokens.
    double WarmingMs_ = 0;
    bool Ended_ = false;
  };

  /// With \p Part of the millisecond left after reading prompts.
  void advance(Run &Each, double Part, TimePoint Now,
               std::vector<Event> &Events) {
    if (Each.Work_.Unread_ > 0)
      return;
    if (!Each.FirstToken_) {
      Each.WarmingMs_ += 1;
      if (Each.WarmingMs_ < FirstTokenMs)
        return;
      Each.FirstToken_ = Each.LastEvent_ = Now;
      Events.push_back(
          {Event::Kind::FirstToken, Each.Work_.Id_, Each.Work_.Sent_, Now});
    }
    Each.Work_.Tokens_ -= Part / Speed_.StepMs_;
    Each.SinceEvent_ += Part / Speed_.StepMs_;
    if (Each.SinceEvent_ >= TokensPerEvent)
      noteEvent(Each, Now);
    if (Each.Work_.Tokens_ > 0)
      return;
    Each.Ended_ = true;
    Events.push_back({Event::Kind::Ended, Each.Work_.Id_, Each.Work_.Sent_,
                      *Each.FirstToken_, Each.LongestPause_});
  }

  static void noteEvent(Run &Each, TimePoint Now) {
    auto Pause = std::chrono::duration_cast<std::chrono::milliseconds>(
        Now - Each.LastEvent_);
    Each.LongestPause_ = std::max(Each.LongestPause_, Pause);
    Each.LastEvent_ = Now;
    Each.SinceEvent_ = 0;
  }

  Speed Speed_;
  std::size_t Places_;
  std::deque<Work> Queue_;
  std::vector<Run> Running_;
};

} // namespace samphireshunt::tests
